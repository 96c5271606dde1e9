// What actors need of the world. The daemon has it over libevent; tests have a simulated one.
#pragma once
#include <functional>
#include <string>

#include "constants.h"

namespace eiderreel {

struct HttpReply {
  int status = 0;  // 0: no answer; the request may have been carried out, or still may be
  std::string body;
};

struct HttpRequest {
  std::string addr, method, path, body;
  Ms timeout = 0;
  bool once = false;  // the connection is not kept for a next request
};

class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual Ms now() const = 0;               // steady clock
  virtual Ms wall() const = 0;              // time of day, only good to the settings' skew
  virtual double random() = 0;              // [0, 1)
  virtual std::string boot_id() const = 0;  // differs for every start of a process
  virtual void after(Ms delay, std::function<void()> f) = 0;
  virtual void http(HttpRequest r, std::function<void(HttpReply)> done) = 0;
  // Best effort, in order while a link lasts; nothing tells of a loss.
  virtual void send(const std::string& node, const std::string& bytes) = 0;
};

// The message an actor answers a request with.
using Reply = std::function<void(int status, std::string body)>;

}  // namespace eiderreel
