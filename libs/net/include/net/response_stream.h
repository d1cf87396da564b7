// The bytes that a server sends over a connection, with or without a tunnel's framing.

#pragma once

#include <array>
#include <boost/asio/compose.hpp>
#include <boost/asio/read.hpp>
#include <boost/beast/core/buffers_prefix.hpp>
#include <cstddef>
#include <utility>

#include "net/beast.h"
#include "net/record_header.h"

namespace ridgehold {

/// What tells that a server has sent everything.
enum class StreamFraming : std::uint8_t {
  kNone,     ///< the end of the connection, if it is not reset
  kRecords,  ///< a final record; see RecordHeader
  kOpaque,   ///< nothing: whoever forwards the bytes does not tell how they ended
};

/// Satisfies Beast's requirements for an AsyncReadStream. With kRecords and kOpaque, a connection
/// that is closed without a final record fails with connection_reset: the kernel also closes the
/// connections of a process that is killed. Refers to `socket`, which must outlive it.
class ResponseStream {
 public:
  using executor_type = tcp::socket::executor_type;

  ResponseStream(tcp::socket& socket, StreamFraming framing) : socket_(socket), framing_(framing) {}

  executor_type get_executor() { return socket_.get_executor(); }
  StreamFraming framing() const { return framing_; }

  template <class Buffers, class Token>
  auto async_read_some(const Buffers& buffers, Token&& token) {
    if (framing_ == StreamFraming::kNone) {
      return socket_.async_read_some(buffers, std::forward<Token>(token));
    }
    return net::async_compose<Token, void(ErrorCode, std::size_t)>(
        ReadOperation<Buffers>{*this, buffers}, token, socket_);
  }

 private:
  template <class Buffers>
  struct ReadOperation {
    ResponseStream& stream;
    Buffers buffers;
    bool reads_header = false;
    bool started = false;

    template <class Self>
    void operator()(Self& self, ErrorCode error = {}, std::size_t bytes = 0) {
      if (!std::exchange(started, true)) return Start(self);
      if (error == net::error::eof) error = net::error::connection_reset;
      if (error) return self.complete(error, reads_header ? 0 : bytes);
      if (!std::exchange(reads_header, false)) {
        if (stream.framing_ == StreamFraming::kRecords) stream.unread_ -= bytes;
        return self.complete(error, bytes);
      }
      const std::size_t length = DecodeRecordHeader(stream.header_);
      if (length == kFinalRecordLength) return self.complete(net::error::eof, 0);
      if (length > kMaxRecordBytes) return self.complete(net::error::message_size, 0);
      stream.unread_ = length;
      Start(self);
    }

    template <class Self>
    void Start(Self& self) {
      tcp::socket& socket = stream.socket_;
      if (stream.framing_ == StreamFraming::kOpaque) {
        return socket.async_read_some(buffers, std::move(self));
      }
      if (stream.unread_ > 0) {
        return socket.async_read_some(boost::beast::buffers_prefix(stream.unread_, buffers),
                                      std::move(self));
      }
      reads_header = true;
      net::async_read(socket, net::buffer(stream.header_), std::move(self));
    }
  };

  tcp::socket& socket_;
  StreamFraming framing_;
  RecordHeader header_{};
  std::size_t unread_ = 0;  ///< bytes of the current record
};

}  // namespace ridgehold
