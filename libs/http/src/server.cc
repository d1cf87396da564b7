#include "http/server.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <unordered_set>
#include <utility>
#include <vector>

#include "http/request.h"
#include "http/responder.h"

namespace ridgehold {
namespace {

// A handler answers when the backend server does; its own limits apply there.
constexpr std::chrono::hours kHandleRequestTimeout{24};

constexpr std::size_t kMaxUrlBytes = std::size_t{16} << 10;
constexpr std::size_t kMaxHeaderFields = 100;
constexpr int kBadRequest = 400;

/// Refuses connections beyond a number. RESTinio's own limiter is not used: it
/// is destroyed before the connections that still report to it.
class ConnectionGate {
 public:
  explicit ConnectionGate(std::size_t most) : most_(most) {}

  restinio::ip_blocker::inspection_result_t inspect(
      const restinio::ip_blocker::incoming_info_t& /*info*/) const noexcept {
    return open_.load() < most_ ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
  }

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    const auto cause = notice.cause();
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) ++open_;
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) --open_;
  }

 private:
  std::size_t most_;
  std::atomic<std::size_t> open_{0};
};

struct ServerTraits
    : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
  using ip_blocker_t = ConnectionGate;
  using connection_state_listener_t = ConnectionGate;
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

/// Whether the end of the body is known (RFC 9112, section 6.3). The parser refuses most other
/// requests, but not one that asks for another protocol: it takes that for one without a body.
bool IsDelimited(const HttpRequest& request) {
  return std::ranges::all_of(request.headers.fields(), [](const HeaderField& field) {
    return !SameHeaderName(field.name, "Transfer-Encoding") ||
           SameHeaderName(field.value, "chunked");
  });
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

/// The answers of a server that are not ended yet. RESTinio's connections must
/// not outlive its server, but sessions may: the server takes them away first.
struct OpenAnswers {
  std::mutex mutex;
  std::unordered_set<Responder::Impl*> answers;
};

struct Responder::Impl {
  /// What belongs to RESTinio.
  struct Connection {
    restinio::request_handle_t request;
    std::optional<StreamedResponse> stream;
  };

  std::shared_ptr<std::atomic<bool>> close_after_answer;
  std::shared_ptr<OpenAnswers> open_answers;
  std::mutex mutex;
  std::optional<Connection> connection;  // guarded by mutex

  ~Impl() {
    const std::lock_guard lock(open_answers->mutex);
    open_answers->answers.erase(this);
  }

  template <class Response>
  void Prepare(Response& response, const Headers& headers) const {
    AppendHeaders(response, headers);
    if (close_after_answer->load()) response.connection_close();
  }
};

Responder::Responder(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

void Responder::Send(int status, const Headers& headers, std::string body,
                     std::function<void(bool)> written) const {
  const std::lock_guard lock(impl_->mutex);
  if (!impl_->connection) return;
  auto response =
      impl_->connection->request->create_response<restinio::restinio_controlled_output_t>(
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
  const std::lock_guard lock(impl_->mutex);
  if (!impl_->connection) return;
  auto& stream = impl_->connection->stream;
  stream.emplace(
      impl_->connection->request->create_response<restinio::chunked_output_t>(StatusLine(status)));
  impl_->Prepare(*stream, headers);
  stream->flush();
}

void Responder::Write(std::string chunk, std::function<void(bool)> written) const {
  const std::lock_guard lock(impl_->mutex);
  if (!impl_->connection || !impl_->connection->stream) return;
  impl_->connection->stream->append_chunk(std::move(chunk));
  impl_->connection->stream->flush(
      [written = std::move(written)](const auto& error) { written(!error); });
}

void Responder::End(std::function<void(bool)> written) const {
  const std::lock_guard lock(impl_->mutex);
  if (!impl_->connection || !impl_->connection->stream) return;
  auto& stream = *impl_->connection->stream;
  if (!written) {
    stream.done();
    return;
  }
  stream.done([written = std::move(written)](const auto& error) { written(!error); });
}

struct HttpServer::Impl {
  using Running = restinio::running_server_instance_t<restinio::http_server_t<ServerTraits>>;

  std::shared_ptr<std::atomic<bool>> close_after_answer =
      std::make_shared<std::atomic<bool>>(false);
  std::shared_ptr<OpenAnswers> open_answers = std::make_shared<OpenAnswers>();
  std::uint16_t port = 0;
  bool closed = false;
  std::unique_ptr<Running> running;
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() { Close(); }

Result<std::unique_ptr<HttpServer>> HttpServer::Create(const HttpServerOptions& options,
                                                       HttpHandler handler) {
  auto impl = std::make_unique<Impl>();
  auto on_request = [handler = std::move(handler), flag = impl->close_after_answer,
                     open = impl->open_answers](restinio::request_handle_t raw) {
    HttpRequest request = Convert(*raw);
    if (!IsDelimited(request)) {
      return raw->create_response(StatusLine(kBadRequest)).connection_close().done();
    }
    auto answer = std::make_shared<Responder::Impl>();
    answer->close_after_answer = flag;
    answer->open_answers = open;
    {
      const std::lock_guard lock(open->mutex);
      open->answers.insert(answer.get());
    }
    answer->connection.emplace(Responder::Impl::Connection{std::move(raw), std::nullopt});
    handler(std::move(request), Responder(std::move(answer)));
    return restinio::request_accepted();
  };
  const auto gate = std::make_shared<ConnectionGate>(options.max_connections);
  restinio::server_settings_t<ServerTraits> settings;
  settings.address(options.address)
      .port(options.port)
      .request_handler(std::move(on_request))
      .read_next_http_message_timelimit(options.read_timeout)
      .write_http_response_timelimit(options.write_timeout)
      .handle_request_timeout(kHandleRequestTimeout)
      .ip_blocker(gate)
      .connection_state_listener(gate)
      .socket_options_setter([](auto& socket) { socket.set_option(asio::ip::tcp::no_delay(true)); })
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
  std::vector<Responder::Impl::Connection> taken;
  const std::lock_guard lock(impl_->open_answers->mutex);
  for (Responder::Impl* answer : impl_->open_answers->answers) {
    const std::lock_guard answer_lock(answer->mutex);
    if (answer->connection) taken.push_back(std::move(*answer->connection));
    answer->connection.reset();
  }
}

}  // namespace ridgehold
