// One tunnel that this instance carries for a peer.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "net/beast.h"
#include "net/response_stream.h"

namespace ridgehold {

/// Copies bytes in both directions until one side ends. A reset of one side resets the other, so
/// that a response that was cut off does not look complete. Nor does one that the end of this
/// process cuts off, if the peer asked for records: the final one is sent only when the backend
/// server has closed its connection in order. Keeps itself alive.
class TunnelSession : public std::enable_shared_from_this<TunnelSession> {
 public:
  /// `framing` is that of the bytes sent to the peer: kRecords, or kOpaque for an older peer.
  /// `on_end` is called once, when both sides are closed.
  static std::shared_ptr<TunnelSession> Create(tcp::socket peer, tcp::socket backend,
                                               StreamFraming framing, std::function<void()> on_end);
  ~TunnelSession();

  TunnelSession(const TunnelSession&) = delete;
  TunnelSession& operator=(const TunnelSession&) = delete;

  void Start();
  /// Resets both sides.
  void Abort();

 private:
  TunnelSession(tcp::socket peer, tcp::socket backend, StreamFraming framing,
                std::function<void()> on_end);

  net::awaitable<void> CopyToBackend();
  net::awaitable<void> CopyToPeer();
  /// Copies until the end of `from`. Returns whether it ended in order.
  net::awaitable<bool> Copy(tcp::socket& from, tcp::socket& to, StreamFraming framing);
  void Close();

  tcp::socket peer_;
  tcp::socket backend_;
  StreamFraming framing_;
  std::function<void()> on_end_;
};

}  // namespace ridgehold
