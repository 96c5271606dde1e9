// Owning pointers to libevent objects, and conversions between types of libevent and of this
// program.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <memory>
#include <string>

#include "constants.h"

namespace eiderreel::net {

/// Deleter for std::unique_ptr that calls one of libevent's free functions.
template <auto FreeFunction>
struct FreeWith {
  template <typename Object>
  void operator()(Object* object) const {
    FreeFunction(object);
  }
};

using EventBasePtr = std::unique_ptr<event_base, FreeWith<event_base_free>>;
using EventConfigPtr = std::unique_ptr<event_config, FreeWith<event_config_free>>;
using EventPtr = std::unique_ptr<event, FreeWith<event_free>>;
using BuffereventPtr = std::unique_ptr<bufferevent, FreeWith<bufferevent_free>>;
using ListenerPtr = std::unique_ptr<evconnlistener, FreeWith<evconnlistener_free>>;
using EvhttpPtr = std::unique_ptr<evhttp, FreeWith<evhttp_free>>;
using EvhttpConnectionPtr = std::unique_ptr<evhttp_connection, FreeWith<evhttp_connection_free>>;
using EvhttpRequestPtr = std::unique_ptr<evhttp_request, FreeWith<evhttp_request_free>>;

/// Converts a duration from milliseconds.
timeval to_timeval(Ms duration);

/// Removes the body from the input buffer of `request` and returns it: the request body on a
/// server, the response body on a client.
std::string take_body(evhttp_request* request);

}  // namespace eiderreel::net
