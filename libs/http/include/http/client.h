// An HTTP client: any number of transfers on one event loop (libcurl).

#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "base/result.h"
#include "http/call.h"

namespace ridgehold {

/// What a transfer tells its owner; all run on the client's thread and must
/// not block it.
struct TransferCallbacks {
  /// Status and header fields have arrived.
  std::function<void(int status, const Headers& headers)> on_head;
  /// Returns false to be paused; the same bytes come again after Resume.
  std::function<bool(std::string_view bytes)> on_body;
  /// Called exactly once, last.
  std::function<void(const TransferEnd& end)> on_end;
};

/// A running transfer.
class Transfer {
 public:
  virtual ~Transfer() = default;

  /// Ends the transfer; `on_end` gets kCancelled unless it ended before.
  virtual void Cancel() = 0;

  /// Continues after `on_body` returned false.
  virtual void Resume() = 0;
};

/// Owns the event loop. Destroying it cancels what is still running.
class HttpClient {
 public:
  static Result<std::unique_ptr<HttpClient>> Create();
  ~HttpClient();

  /// Starts a transfer. It keeps itself alive until `on_end` has returned.
  std::shared_ptr<Transfer> Start(HttpCall call, TransferCallbacks callbacks);

  /// Sends `call` and waits for the whole answer. Not from a callback.
  Result<HttpAnswer> Fetch(HttpCall call);

 private:
  struct Impl;
  explicit HttpClient(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ridgehold
