#include "plain_service.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "http/request.h"
#include "http/responder.h"
#include "http/server.h"

namespace ridgehold::standin {

struct PlainService::Impl {
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t> executions;
  std::uint64_t total = 0;
  std::chrono::milliseconds delay;
  std::unique_ptr<HttpServer> server;

  void Serve(const HttpRequest& request, const Responder& responder) {
    nlohmann::json answer = {{"path", request.path}, {"method", request.method}};
    {
      const std::lock_guard lock(mutex);
      answer["run"] = ++total;
      answer["runs_of_this"] = ++executions[request.body];
    }
    std::this_thread::sleep_for(delay);
    responder.Send(200, {{"Content-Type", "application/json"}}, answer.dump());
  }
};

PlainService::PlainService(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PlainService::~PlainService() { impl_->server.reset(); }

Result<std::unique_ptr<PlainService>> PlainService::Create(const std::string& address,
                                                           std::uint16_t port,
                                                           std::chrono::milliseconds delay) {
  auto impl = std::make_unique<Impl>();
  impl->delay = delay;
  HttpServerOptions options;
  options.address = address;
  options.port = port;
  auto handler = [raw = impl.get()](HttpRequest request, Responder responder) {
    raw->Serve(request, responder);
  };
  BOOST_LEAF_ASSIGN(impl->server, HttpServer::Create(options, handler));
  return std::unique_ptr<PlainService>(new PlainService(std::move(impl)));
}

std::uint16_t PlainService::port() const { return impl_->server->port(); }

std::string PlainService::url() const { return "http://127.0.0.1:" + std::to_string(port()); }

std::uint64_t PlainService::executions(const std::string& body) const {
  const std::lock_guard lock(impl_->mutex);
  const auto found = impl_->executions.find(body);
  return found == impl_->executions.end() ? 0 : found->second;
}

}  // namespace ridgehold::standin
