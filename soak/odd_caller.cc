#include "odd_caller.h"

#include <array>
#include <boost/asio/write.hpp>
#include <sstream>

#include "bounds.h"
#include "received_answer.h"
#include "request_draw.h"

namespace ridgehold::soak {
namespace {

constexpr std::chrono::milliseconds kConnectLimit{1'000};
constexpr std::chrono::milliseconds kPause{40};
/// How long after a request's deadline its caller still reads.
constexpr std::chrono::milliseconds kPatience{1'000};
constexpr int kFewestBytes = 200'000;
constexpr int kMostBytes = 3'000'000;
constexpr std::array kFramings = {"gzip",
                                  "identity",
                                  "chunked, identity",
                                  "xchunked",
                                  "chunkedx",
                                  "chunked, chunked",
                                  "chunked;q=1",
                                  "",
                                  ",",
                                  "gzip, chunked",
                                  "\"chunked\"",
                                  "GZIP",
                                  "gzip\r\nContent-Length: 0",
                                  "identity\r\nExpect: 100-continue"};

std::string TextOf(const RequestRecord& record) {
  std::ostringstream text;
  text << record.message;
  return text.str();
}

}  // namespace

net::awaitable<void> OddCaller::Run() {
  const auto self = shared_from_this();
  while (!stopping_) {
    co_await UseConnection();
    co_await Sleep(kPause);
  }
}

net::awaitable<void> OddCaller::UseConnection() {
  boost::beast::tcp_stream stream(co_await net::this_coro::executor);
  stream.expires_after(kConnectLimit);
  const std::string address = instance_.place().address + ":" + std::to_string(kCallerPort);
  ErrorCode error;
  co_await stream.async_connect(ParseEndpoint(address),
                                net::redirect_error(net::use_awaitable, error));
  if (error) co_return;
  stream.expires_after(kCallerDeadline + kPatience);
  const bool uploads = requests_.large && (!requests_.unframed || random_.Chance(0.5));
  if (uploads) co_return co_await Upload(stream);
  co_await SendUnframed(stream);
}

net::awaitable<void> OddCaller::SendUnframed(boost::beast::tcp_stream& stream) {
  const std::string number = std::to_string(++sent_);
  const int process = instance_.serial();
  // A whole request before it is still answered.
  RequestRecord first = DrawRequest(name_ + "-f" + number, operator_, process, random_);
  RequestRecord outer = DrawRequest(name_ + "-o" + number, operator_, process, random_);
  const RequestRecord hidden = DrawRequest(name_ + "-h" + number, operator_, process, random_);
  const std::string first_id = first.id;
  outer.message.erase(http::field::content_length);
  outer.message.body() = TextOf(hidden);
  std::string text = TextOf(outer);
  const auto framing =
      static_cast<std::size_t>(random_.Between(0, static_cast<int>(kFramings.size()) - 1));
  text.insert(text.find("\r\n") + 2,
              std::string("Transfer-Encoding: ") + kFramings[framing] + "\r\n");
  text = TextOf(first) + text;
  first.sent = Clock::now();
  ledger_.Sent(std::move(first));
  ErrorCode error;
  co_await net::async_write(stream, net::buffer(text),
                            net::redirect_error(net::use_awaitable, error));
  boost::beast::flat_buffer buffer;
  const ReceivedAnswer first_answer = co_await ReceiveAnswer(stream, buffer);
  ledger_.Ended(first_id, first_answer.view);
  if (!first_answer.view.whole) co_return;
  const ReceivedAnswer refusal = co_await ReceiveAnswer(stream, buffer);
  const int status = refusal.view.status;
  if (status == 0) co_return;
  if (status == 400 || status == 501) {
    ++refused_;
    co_return;
  }
  verdict_.Fail("request without a known length is not refused", name_ + "-o" + number,
                std::to_string(status));
}

net::awaitable<void> OddCaller::Upload(boost::beast::tcp_stream& stream) {
  RequestRecord record =
      DrawRequest(name_ + "-u" + std::to_string(++sent_), operator_, instance_.serial(), random_);
  record.kind = random_.Chance(0.5) ? RequestKind::kSafe : RequestKind::kUnsafe;
  const std::string folder = record.kind == RequestKind::kSafe ? "/safe/" : "/unsafe/";
  record.message.target(folder + record.id + "?q=1");
  record.message.body() =
      std::string(static_cast<std::size_t>(random_.Between(kFewestBytes, kMostBytes)), 'u');
  record.message.prepare_payload();
  const std::string id = record.id;
  const std::string text = TextOf(record);
  record.sent = Clock::now();
  ledger_.Sent(std::move(record));
  ErrorCode error;
  co_await net::async_write(stream, net::buffer(text),
                            net::redirect_error(net::use_awaitable, error));
  boost::beast::flat_buffer buffer;
  ReceivedAnswer answer = co_await ReceiveAnswer(stream, buffer);
  answer.view.bytes_after = buffer.size();
  ledger_.Ended(id, answer.view);
}

}  // namespace ridgehold::soak
