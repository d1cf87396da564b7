#include "scripted_backend.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>
#include <thread>

namespace ridgehold::test {

std::string RawRequest::Header(const std::string& name) const {
  const std::size_t at = text.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t start = at + name.size() + 4;
  return text.substr(start, text.find("\r\n", start) - start);
}

struct ScriptedBackend::Impl {
  Answer answer;
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{io,
                                   asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::atomic<int> requests{0};
  std::thread thread;

  void Accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      Serve(std::move(socket));
      Accept();
    });
  }

  /// Requests of tests are small and arrive at once, so this may block.
  void Serve(asio::ip::tcp::socket socket) {
    asio::error_code error;
    RawRequest request;
    const std::size_t head =
        asio::read_until(socket, asio::dynamic_buffer(request.text), "\r\n\r\n", error);
    if (error) return;
    const std::string length = request.Header("Content-Length");
    const std::size_t whole = head + (length.empty() ? 0 : std::stoul(length));
    if (request.text.size() < whole) {
      asio::read(socket, asio::dynamic_buffer(request.text),
                 asio::transfer_exactly(whole - request.text.size()), error);
    }
    if (request.text.starts_with("GET /ridgehold/")) {
      // The daemon's polls are not what tests script.
      asio::write(socket,
                  asio::buffer(std::string("HTTP/1.1 404 Not Found\r\n"
                                           "Content-Length: 0\r\n\r\n")),
                  error);
      return;
    }
    ++requests;
    asio::write(socket, asio::buffer(answer(request)), error);
  }
};

ScriptedBackend::ScriptedBackend(Answer answer) : impl_(std::make_unique<Impl>()) {
  impl_->answer = std::move(answer);
  impl_->Accept();
  impl_->thread = std::thread([this] { impl_->io.run(); });
}

ScriptedBackend::~ScriptedBackend() {
  impl_->io.stop();
  impl_->thread.join();
}

std::string ScriptedBackend::url() const {
  return "http://127.0.0.1:" + std::to_string(impl_->acceptor.local_endpoint().port());
}

int ScriptedBackend::requests() const { return impl_->requests.load(); }

std::string StreamHead(const RawRequest& request, const std::string& incarnation) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
         "X-Ridgehold-Request-Id: " +
         request.Header("X-Ridgehold-Request-Id") + "\r\nX-Ridgehold-Incarnation: " + incarnation +
         "\r\nX-Ridgehold-Weights: w1\r\n"
         "X-Ridgehold-Cache-Salt: " +
         request.Header("X-Ridgehold-Cache-Salt") + "\r\n\r\n";
}

std::string StreamFrame(const RawRequest& request, int offset, const std::string& data,
                        const std::string& incarnation) {
  return "id: " + request.Header("X-Ridgehold-Request-Id") + " " + incarnation + " w1 " +
         std::to_string(offset) + "\ndata: " + data + "\n\n";
}

std::string TokenData(const std::string& text) {
  return nlohmann::json{{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}}.dump();
}

}  // namespace ridgehold::test
