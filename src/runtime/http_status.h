// HTTP status codes of the protocols that eiderreel speaks.
#pragma once

/// HTTP status codes by name.
namespace eiderreel::http_status {

/// Not an HTTP status: no reply arrived. The request may have been executed, or may still be.
inline constexpr int kNoAnswer = 0;
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServerError = 500;
inline constexpr int kNotImplemented = 501;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace eiderreel::http_status
