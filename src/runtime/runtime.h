// Interface to clocks, timers, randomness and the network. The daemon implements it with libevent,
// tests with a simulation.
#pragma once
#include <functional>
#include <string>

#include "constants.h"

namespace eiderreel {

/// The reply to an HTTP request.
struct HttpReply {
  /// HTTP status; 0 if there was no reply: the request may have been executed, or may still be.
  int status = 0;
  std::string body;
};

/// An HTTP request to another process.
struct HttpRequest {
  std::string addr;  ///< IP:PORT.
  std::string method;
  std::string path;  ///< Includes the query string.
  std::string body;
  Ms timeout = 0;
  bool close_connection =
      false;  ///< Close the connection after the reply instead of keeping it alive.
};

/// Clocks, timers, randomness and the network. All callbacks run on the event loop thread.
class Runtime {
 public:
  Runtime() = default;
  virtual ~Runtime() = default;
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  Runtime(Runtime&&) = delete;
  Runtime& operator=(Runtime&&) = delete;

  /// The steady clock in milliseconds, for measuring durations.
  virtual Ms now() const = 0;
  /// The wall clock in milliseconds since the epoch; the clocks of two nodes may differ by up to
  /// the setting skew_ms.
  virtual Ms wall_clock_now() const = 0;
  /// A random number in [0, 1).
  virtual double random() = 0;
  /// An ID that is unique for each start of the process.
  virtual std::string boot_id() const = 0;
  /// Calls `callback` once, after `delay`.
  virtual void after(Ms delay, std::function<void()> callback) = 0;
  /// Sends an HTTP request; `done` receives the reply, or status 0 after the timeout or a failure.
  virtual void http(HttpRequest request, std::function<void(HttpReply)> done) = 0;
  /// Sends a message to another controller. Best effort: messages arrive in order as long as the
  /// connection lasts, and a lost message is not reported.
  virtual void send(const std::string& node, const std::string& bytes) = 0;
};

/// Callback that sends the HTTP reply to a received request.
using Reply = std::function<void(int status, std::string body)>;

}  // namespace eiderreel
