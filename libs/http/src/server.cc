#include "http/server.h"

#include <atomic>
#include <restinio/all.hpp>
#include <utility>
#include <variant>

#include "http/request.h"
#include "http/responder.h"

namespace ridgehold {
namespace {

// A handler answers when the backend server does; its own limits apply there.
constexpr std::chrono::hours kHandleRequestTimeout{24};

constexpr std::size_t kMaxUrlBytes = std::size_t{16} << 10;
constexpr std::size_t kMaxHeaderFields = 100;

struct ServerTraits : public restinio::traits_t<restinio::asio_timer_manager_t,
                                                restinio::null_logger_t> {
  static constexpr bool use_connection_count_limiter = true;
};

using WholeResponse = restinio::response_builder_t<restinio::restinio_controlled_output_t>;
using StreamedResponse = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t StatusLine(int status) {
  return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
          status < 400 ? "OK" : "Error"};
}

bool IsFraming(std::string_view name) {
  return SameHeaderName(name, "Content-Length") || SameHeaderName(name, "Transfer-Encoding") ||
         SameHeaderName(name, "Connection");
}

template <class Response>
void AppendHeaders(Response& response, const Headers& headers) {
  for (const HeaderField& field : headers.fields()) {
    if (!IsFraming(field.name)) response.append_header(field.name, field.value);
  }
}

HttpRequest Convert(const restinio::request_t& raw) {
  HttpRequest request;
  const auto& header = raw.header();
  request.method = header.method().c_str();
  request.path = std::string(header.path());
  request.query = std::string(header.query());
  header.for_each_field([&](const restinio::http_header_field_t& field) {
    request.headers.Add(field.name(), field.value());
  });
  request.body = raw.body();
  return request;
}

}  // namespace

struct Responder::Impl {
  restinio::request_handle_t request;
  std::shared_ptr<std::atomic<bool>> close_after_answer;
  std::optional<StreamedResponse> stream;

  template <class Response>
  void Prepare(Response& response, const Headers& headers) const {
    AppendHeaders(response, headers);
    if (close_after_answer->load()) {
      response.connection_close();
    }
  }
};

Responder::Responder(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

void Responder::Send(int status, const Headers& headers, std::string body,
                     std::function<void(bool)> written) const {
  auto response = impl_->request->create_response<restinio::restinio_controlled_output_t>(
      StatusLine(status));
  impl_->Prepare(response, headers);
  response.set_body(std::move(body));
  if (!written) {
    response.done();
    return;
  }
  response.done([written = std::move(written)](const auto& error) { written(!error); });
}

void Responder::Begin(int status, const Headers& headers) const {
  impl_->stream.emplace(
      impl_->request->create_response<restinio::chunked_output_t>(StatusLine(status)));
  impl_->Prepare(*impl_->stream, headers);
  impl_->stream->flush();
}

void Responder::Write(std::string chunk, std::function<void(bool)> written) const {
  impl_->stream->append_chunk(std::move(chunk));
  impl_->stream->flush(
      [written = std::move(written)](const auto& error) { written(!error); });
}

void Responder::End(std::function<void(bool)> written) const {
  if (!written) {
    impl_->stream->done();
    return;
  }
  impl_->stream->done([written = std::move(written)](const auto& error) { written(!error); });
}

struct HttpServer::Impl {
  using Running = restinio::running_server_instance_t<restinio::http_server_t<ServerTraits>>;

  std::shared_ptr<std::atomic<bool>> close_after_answer =
      std::make_shared<std::atomic<bool>>(false);
  std::uint16_t port = 0;
  bool closed = false;
  std::unique_ptr<Running> running;
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() { Close(); }

Result<std::unique_ptr<HttpServer>> HttpServer::Create(const HttpServerOptions& options,
                                                       HttpHandler handler) {
  auto impl = std::make_unique<Impl>();
  auto on_request = [handler = std::move(handler), flag = impl->close_after_answer](
                        restinio::request_handle_t raw) {
    auto answer = std::make_shared<Responder::Impl>();
    answer->close_after_answer = flag;
    HttpRequest request = Convert(*raw);
    answer->request = std::move(raw);
    handler(std::move(request), Responder(std::move(answer)));
    return restinio::request_accepted();
  };
  restinio::server_settings_t<ServerTraits> settings;
  settings.address(options.address)
      .port(options.port)
      .request_handler(std::move(on_request))
      .read_next_http_message_timelimit(options.read_timeout)
      .write_http_response_timelimit(options.write_timeout)
      .handle_request_timeout(kHandleRequestTimeout)
      .max_parallel_connections(options.max_connections)
      .socket_options_setter([](auto& socket) {
        socket.set_option(asio::ip::tcp::no_delay(true));
      })
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(kMaxUrlBytes)
                                    .max_field_count(kMaxHeaderFields)
                                    .max_field_value_size(options.max_header_bytes)
                                    .max_body_size(options.max_body_bytes))
      .acceptor_post_bind_hook([&port = impl->port](asio::ip::tcp::acceptor& acceptor) {
        port = acceptor.local_endpoint().port();
      });
  try {
    impl->running = restinio::run_async<ServerTraits>(restinio::own_io_context(),
                                                      std::move(settings), options.threads);
  } catch (const std::exception& error) {
    return Fail(ResultCode::kInvalidSettings, "cannot listen on " + options.address + ":" +
                                                  std::to_string(options.port) + ": " +
                                                  error.what());
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

std::uint16_t HttpServer::port() const { return impl_->port; }

void HttpServer::CloseConnectionsAfterAnswer() { impl_->close_after_answer->store(true); }

void HttpServer::Close() {
  if (std::exchange(impl_->closed, true) || !impl_->running) return;
  impl_->running->stop();
  impl_->running->wait();
}

}  // namespace ridgehold
