// The answer to one HTTP request: whole, or streamed chunk by chunk.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/headers.h"

namespace ridgehold {

/// Sends the answer. Copies share one answer; calls may come from any thread.
/// The first call decides: Send, or Begin. Once the server is closed all calls
/// do nothing.
class Responder {
 public:
  struct Impl;

  explicit Responder(std::shared_ptr<Impl> impl);

  /// Sends a whole answer. `written(ok)` is called once, later, from the
  /// server's threads.
  void Send(int status, const Headers& headers, std::string body,
            std::function<void(bool ok)> written = nullptr) const;

  /// Starts a streamed answer.
  void Begin(int status, const Headers& headers) const;

  /// Sends a chunk. `written(ok)` is called when the chunk has been handed to
  /// the kernel; `ok` is false once the caller has gone.
  void Write(std::string chunk, std::function<void(bool ok)> written) const;

  /// Ends a streamed answer. `written(ok)` as in Send.
  void End(std::function<void(bool ok)> written = nullptr) const;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace ridgehold
