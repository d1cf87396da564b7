// An HTTP/1.1 server on a pool of worker threads (RESTinio).

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"

namespace ridgehold {

class Responder;
struct HttpRequest;

/// What a server listens on and what it accepts.
struct HttpServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: any free port
  std::size_t threads = 2;
  std::size_t max_body_bytes = std::size_t{16} << 20;
  std::size_t max_header_bytes = std::size_t{16} << 10;  ///< each field's value
  std::size_t max_connections = 4096;
  std::chrono::milliseconds read_timeout{60'000};   ///< idle or slow request
  std::chrono::milliseconds write_timeout{30'000};  ///< one chunk to a slow caller
};

/// Called from the worker threads, concurrently.
using HttpHandler = std::function<void(HttpRequest, Responder)>;

/// A listening server. It accepts from Create to Close.
class HttpServer {
 public:
  static Result<std::unique_ptr<HttpServer>> Create(const HttpServerOptions& options,
                                                    HttpHandler handler);
  ~HttpServer();

  /// The port it listens on.
  std::uint16_t port() const;

  /// From now on each answer closes its connection.
  void CloseConnectionsAfterAnswer();

  /// Stops accepting, and breaks off what is still running. No handler runs
  /// afterwards; answers sent later go nowhere, as long as the server lives.
  void Close();

 private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ridgehold
