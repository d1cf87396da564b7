#include "pipelined_caller.h"

#include <boost/asio/write.hpp>
#include <sstream>

#include "bounds.h"
#include "received_answer.h"
#include "request_draw.h"

namespace ridgehold::soak {
namespace {

constexpr std::chrono::milliseconds kConnectLimit{1'000};
constexpr std::chrono::milliseconds kConnectPause{30};
/// How long after a request's deadline its caller still reads.
constexpr std::chrono::milliseconds kPatience{1'000};
constexpr int kMostInSeries = 6;
constexpr double kHalfClosedPart = 0.3;  // of the series

}  // namespace

net::awaitable<void> PipelinedCaller::Run() {
  const auto self = shared_from_this();
  while (!stopping_) {
    co_await UseConnection();
    co_await Sleep(kConnectPause);
  }
}

net::awaitable<void> PipelinedCaller::UseConnection() {
  boost::beast::tcp_stream stream(co_await net::this_coro::executor);
  stream.expires_after(kConnectLimit);
  const std::string address = instance_.place().address + ":" + std::to_string(kCallerPort);
  ErrorCode error;
  co_await stream.async_connect(ParseEndpoint(address),
                                net::redirect_error(net::use_awaitable, error));
  bool kept = !error;
  while (kept && !stopping_) {
    kept = co_await AskSeries(stream);
    co_await Sleep(random_.Milliseconds(1, 100));
  }
}

std::vector<std::string> PipelinedCaller::Draw(std::string& bytes) {
  std::vector<std::string> ids;
  std::ostringstream text;
  const int count = random_.Between(1, kMostInSeries);
  for (int i = 0; i < count; ++i) {
    ids.push_back(name_ + "-" + std::to_string(++sent_));
    RequestRecord record = DrawRequest(ids.back(), operator_, instance_.serial(), random_);
    record.sent = Clock::now();
    text << record.message;
    ledger_.Sent(std::move(record));
  }
  bytes = text.str();
  return ids;
}

net::awaitable<bool> PipelinedCaller::AskSeries(boost::beast::tcp_stream& stream) {
  std::string bytes;
  const std::vector<std::string> ids = Draw(bytes);
  const bool half_closes = random_.Chance(kHalfClosedPart);
  stream.expires_after(kCallerDeadline + kPatience);
  ErrorCode error;
  co_await net::async_write(stream, net::buffer(bytes),
                            net::redirect_error(net::use_awaitable, error));
  if (half_closes && !error) stream.socket().shutdown(tcp::socket::shutdown_send, error);
  boost::beast::flat_buffer buffer;
  bool open = true;
  for (const std::string& id : ids) {
    if (open) {
      open = co_await ReadAnswer(stream, buffer, id, id == ids.back());
    } else {
      ledger_.Ended(id, {.gave_up = gave_up_});
    }
  }
  co_return open && !half_closes;
}

net::awaitable<bool> PipelinedCaller::ReadAnswer(boost::beast::tcp_stream& stream,
                                                 boost::beast::flat_buffer& buffer, std::string id,
                                                 bool is_last) {
  // The time of a request counts from when the one before was answered.
  stream.expires_after(kCallerDeadline + kPatience);
  ReceivedAnswer answer = co_await ReceiveAnswer(stream, buffer);
  gave_up_ = answer.view.gave_up;
  if (is_last) answer.view.bytes_after = buffer.size();
  ledger_.Ended(id, answer.view);
  co_return answer.kept;
}

}  // namespace ridgehold::soak
