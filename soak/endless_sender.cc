#include "endless_sender.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace ridgehold::soak {
namespace {

constexpr std::chrono::milliseconds kReconnectPause{50};

}  // namespace

std::shared_ptr<EndlessSender> EndlessSender::Create(net::any_io_executor executor,
                                                     std::string address, std::uint16_t port,
                                                     EndlessPart part) {
  return std::shared_ptr<EndlessSender>(
      new EndlessSender(std::move(executor), std::move(address), port, std::move(part)));
}

net::awaitable<void> EndlessSender::Run(TimePoint end) {
  const auto self = shared_from_this();
  while (Clock::now() < end) {
    co_await UseConnection(end);
    co_await Sleep(kReconnectPause);
  }
}

net::awaitable<void> EndlessSender::UseConnection(TimePoint end) {
  const tcp::endpoint endpoint(net::ip::make_address(address_), port_);
  boost::beast::tcp_stream stream(executor_);
  stream.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()));
  ErrorCode error;
  co_await stream.async_connect(endpoint, net::redirect_error(net::use_awaitable, error));
  const std::string head =
      "POST /safe/endless HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + part_.begin;
  if (!error) {
    co_await net::async_write(stream, net::buffer(head),
                              net::redirect_error(net::use_awaitable, error));
  }
  while (!error && Clock::now() < end) {
    co_await net::async_write(stream, net::buffer(part_.block),
                              net::redirect_error(net::use_awaitable, error));
  }
}

}  // namespace ridgehold::soak
