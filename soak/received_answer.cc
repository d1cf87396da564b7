#include "received_answer.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include "platform/names.h"

namespace ridgehold::soak {
namespace {

constexpr int kFirstFinalStatus = 200;

}  // namespace

net::awaitable<ReceivedAnswer> ReceiveAnswer(boost::beast::tcp_stream& stream,
                                             boost::beast::flat_buffer& buffer) {
  ErrorCode error;
  std::optional<http::response_parser<http::string_body>> parser;
  do {
    parser.emplace();
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read(stream, buffer, *parser,
                              net::redirect_error(net::use_awaitable, error));
  } while (!error && parser->get().result_int() < kFirstFinalStatus);
  ReceivedAnswer answer;
  CallerView& view = answer.view;
  if (parser->is_header_done()) view.status = static_cast<int>(parser->get().result_int());
  view.whole = parser->is_done();
  view.gave_up = error == boost::beast::error::timeout;
  view.signature = std::string(parser->get()[platform::field::kSignature]);
  view.body = parser->get().body();
  answer.kept = !error && parser->get().keep_alive() && !parser->need_eof();
  co_return answer;
}

}  // namespace ridgehold::soak
