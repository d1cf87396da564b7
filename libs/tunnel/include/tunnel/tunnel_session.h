// One tunnel that this instance carries for a peer.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "net/beast.h"
#include "net/response_stream.h"
#include "net/write_state.h"

namespace ridgehold {

/// Copies bytes in both directions until one side ends. A reset of one side resets the other, so
/// that a response that was cut off does not look complete. Nor does one that the end of this
/// process cuts off, if the peer asked for records: the final one is sent only when the backend
/// server has closed its connection in order. A server may do that before it has read the whole
/// request; its response is still forwarded. Keeps itself alive.
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
  /// A socket, and the state of the writes to it.
  struct Side {
    explicit Side(tcp::socket connected)
        : socket(std::move(connected)), writes(socket.get_executor()) {}

    tcp::socket socket;
    WriteState writes;
  };

  enum class CopyEnd : std::uint8_t {
    kInputEnded,   ///< in order
    kInputFailed,  ///< or was reset
    kOutputFailed,
  };

  /// Copies until one of the sides ends.
  static net::awaitable<CopyEnd> Copy(Side& from, Side& to, StreamFraming framing);
  /// Reads and discards what the peer sends until its connection ends.
  net::awaitable<void> DiscardFromPeer();
  void Close();

  Side peer_;
  Side backend_;
  StreamFraming framing_;
  std::function<void()> on_end_;
};

}  // namespace ridgehold
