// What actors need of the world. The daemon provides it over libevent; tests simulate it.
#pragma once
#include <functional>
#include <string>

#include "constants.h"

namespace eiderreel {

/// The answer to an HTTP request.
struct HttpReply {
  /// HTTP status; 0 if there was no answer: the request may have been carried out, or still may be.
  int status = 0;
  std::string body;
};

/// An HTTP request to another process.
struct HttpRequest {
  std::string addr;  ///< IP:PORT.
  std::string method;
  std::string path;  ///< With its query part.
  std::string body;
  Ms timeout = 0;
  bool once = false;  ///< Close the connection afterwards instead of keeping it.
};

/// Clocks, timers, randomness and the network. All callbacks run in one thread, that of the loop.
class Runtime {
 public:
  Runtime() = default;
  virtual ~Runtime() = default;
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  Runtime(Runtime&&) = delete;
  Runtime& operator=(Runtime&&) = delete;

  /// The steady clock, for durations.
  virtual Ms now() const = 0;
  /// The wall clock, since the epoch; nodes differ by up to the settings' skew_ms.
  virtual Ms wall() const = 0;
  /// A random number in [0, 1).
  virtual double random() = 0;
  /// A name of this start of the process; no two starts share one.
  virtual std::string boot_id() const = 0;
  /// Calls back once, after the delay.
  virtual void after(Ms delay, std::function<void()> callback) = 0;
  /// Sends an HTTP request; `done` gets the answer, or status 0 after the timeout or a failure.
  virtual void http(HttpRequest request, std::function<void(HttpReply)> done) = 0;
  /// Sends a message to another controller: best effort, in order while a link lasts; a loss is not
  /// reported.
  virtual void send(const std::string& node, const std::string& bytes) = 0;
};

/// Answers a request that an actor was given.
using Reply = std::function<void(int status, std::string body)>;

}  // namespace eiderreel
