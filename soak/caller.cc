#include "caller.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <limits>

#include "bounds.h"
#include "platform/names.h"
#include "request_draw.h"

namespace ridgehold::soak {
namespace {

namespace field = platform::field;

constexpr std::chrono::milliseconds kConnectLimit{1'000};
constexpr std::chrono::milliseconds kConnectPause{30};
/// How long after its deadline a caller still reads.
constexpr std::chrono::milliseconds kPatience{1'000};
constexpr double kNewConnectionPart = 0.05;  // after an answer
constexpr double kLeavePart = 0.03;          // requests whose caller leaves early

}  // namespace

net::awaitable<void> Caller::Run() {
  const auto self = shared_from_this();
  while (!stopping_) {
    co_await UseConnection();
    co_await Sleep(kConnectPause);
  }
}

net::awaitable<void> Caller::UseConnection() {
  boost::beast::tcp_stream stream(co_await net::this_coro::executor);
  stream.expires_after(kConnectLimit);
  const std::string address = instance_.place().address + ":" + std::to_string(kCallerPort);
  ErrorCode error;
  co_await stream.async_connect(ParseEndpoint(address),
                                net::redirect_error(net::use_awaitable, error));
  bool kept = !error;
  while (kept && !stopping_) {
    kept = co_await Ask(stream);
    if (random_.Chance(kNewConnectionPart)) kept = false;
    co_await Sleep(random_.Milliseconds(1, 60));
  }
}

RequestRecord Caller::Draw() {
  if (auto stream = resumptions_.Take()) return Resume(std::move(*stream));
  const std::string id = name_ + "-" + std::to_string(++sent_);
  RequestRecord record = DrawRequest(id, operator_, instance_.serial(), random_);
  RequestMessage& message = record.message;
  if (const auto poison = poison_.Pick()) {
    record.kind = RequestKind::kResumable;
    message.target("/resume/" + poison->body);
    message.body() = poison->body;
    if (!poison->prompt_part.empty()) {
      const std::string parts(message[field::kPrefixHashes]);
      message.set(field::kPrefixHashes, poison->prompt_part + ":100," + parts);
    }
  }
  message.prepare_payload();
  return record;
}

RequestRecord Caller::Resume(BrokenStream stream) {
  RequestRecord record;
  record.id = name_ + "-" + std::to_string(++sent_);
  record.kind = RequestKind::kResumable;
  record.stream = stream.first_attempt;
  record.events_read = stream.events;
  record.release = stream.release;
  record.key = stream.key;
  record.tries_left = stream.tries_left;
  record.workspace = operator_.key(record.key).workspace;
  record.process = instance_.serial();
  record.message = std::move(stream.message);
  record.message.set(field::kRequestId, record.id);
  record.message.set(field::kResumes, record.stream);
  record.message.set(field::kLastEventId, std::to_string(record.events_read));
  return record;
}

void Caller::OfferResumption(const std::string& id, const CallerView& view) {
  const RequestRecord& record = *ledger_.Find(id);
  if (record.kind != RequestKind::kResumable || Poison::Is(record.message.body())) return;
  const bool resumed = record.stream != id;
  resumptions_.Ended(resumed ? record.release : "", view.status == 200);
  if (resumed && view.status != 200 && !view.gave_up) {
    resumptions_.PutBack({record.stream,
                          record.events_read,
                          record.release,
                          record.key,
                          record.message,
                          record.tries_left,
                          {}});
    return;
  }
  int events = record.events_read;
  for (std::size_t at = 0; (at = view.body.find("\n\n", at)) != std::string::npos; at += 2) {
    ++events;
  }
  const bool broke_off = view.status == 200 && !view.whole && !view.gave_up && events > 0;
  if (!broke_off) return;
  resumptions_.Put({record.stream, events, record.release, record.key, record.message, 0, {}});
}

net::awaitable<bool> Caller::Ask(boost::beast::tcp_stream& stream) {
  RequestRecord record = Draw();
  const std::string id = record.id;
  RequestMessage message = record.message;
  record.sent = Clock::now();
  ledger_.Sent(std::move(record));
  const bool leaves = random_.Chance(kLeavePart);
  stream.expires_after(leaves ? random_.Milliseconds(5, 200) : kCallerDeadline + kPatience);
  ErrorCode error;
  co_await http::async_write(stream, message, net::redirect_error(net::use_awaitable, error));
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  // An instance that refuses may answer before it has read everything.
  co_await http::async_read(stream, buffer, parser, net::redirect_error(net::use_awaitable, error));
  CallerView view;
  if (parser.is_header_done()) view.status = parser.get().result_int();
  view.whole = parser.is_done();
  view.gave_up = error == boost::beast::error::timeout;
  view.signature = std::string(parser.get()[field::kSignature]);
  view.body = parser.get().body();
  view.bytes_after = buffer.size();
  ledger_.Ended(id, view);
  OfferResumption(id, view);
  co_return !error && parser.get().keep_alive() && !parser.need_eof();
}

}  // namespace ridgehold::soak
