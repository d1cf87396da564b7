// Guards against responses that are neither read as they were sent nor end with a fault, whatever a
// server in trouble makes of them.

#include <sys/socket.h>

#include <rapidcheck/boost_test.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/outbound_connection.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

enum class Framing { kLength, kChunks, kConnection };

struct Sent {
  unsigned status = 200;
  std::string body;
  Framing framing = Framing::kLength;
  std::string head;
  std::string text;  ///< of the whole response
};

struct Received {
  ExchangeFault fault = ExchangeFault::kNone;
  unsigned status = 0;
  std::string body;
};

std::string InChunks(const std::string& body) {
  std::string text;
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t size = std::min(*rc::gen::inRange<std::size_t>(1, 20), body.size() - at);
    char line[16];
    std::snprintf(line, sizeof(line), "%zx", size);
    text += line + std::string(*rc::gen::arbitrary<bool>() ? ";a=b" : "") + "\r\n" +
            body.substr(at, size) + "\r\n";
    at += size;
  }
  return text + "0\r\n" + (*rc::gen::arbitrary<bool>() ? "X-T: 1\r\n" : "") + "\r\n";
}

Sent DrawSent() {
  Sent sent;
  sent.status = *rc::gen::elementOf(std::vector<unsigned>{200, 201, 404, 500, 503, 599});
  sent.body = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab\r\n 0:H\x01")));
  sent.framing = *rc::gen::elementOf(
      std::vector<Framing>{Framing::kLength, Framing::kChunks, Framing::kConnection});
  sent.head = *rc::gen::arbitrary<bool>() ? "HTTP/1.1 100 Continue\r\n\r\n" : "";
  sent.head += "HTTP/1.1 " + std::to_string(sent.status) + " Text\r\nX-Signature: s1\r\n";
  std::string body = sent.body;
  if (sent.framing == Framing::kLength) {
    sent.head += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
  } else if (sent.framing == Framing::kChunks) {
    sent.head += "Transfer-Encoding: chunked\r\n";
    body = InChunks(sent.body);
  }
  sent.head += "\r\n";
  sent.text = sent.head + body;
  return sent;
}

/// A connection, and the server's end of it.
struct Exchange {
  net::io_context io;
  tcp::acceptor acceptor{io, {net::ip::address_v4::loopback(), 0}};
  tcp::socket server{io};
  std::shared_ptr<OutboundConnection> connection = OutboundConnection::Create(io.get_executor());

  /// Reads the response to a small request, to which the server writes `parts` and then ends the
  /// connection, by a reset or not.
  Received Play(const std::vector<std::string>& parts, bool reset) {
    Received received;
    bool done = false;
    net::co_spawn(io, Read(received, done), net::detached);
    while (!server.is_open()) {
      io.poll();
      io.restart();
      acceptor.non_blocking(true);
      ErrorCode ignored;
      acceptor.accept(server, ignored);
    }
    AwaitRequest();
    for (const std::string& part : parts) {
      ErrorCode ignored;
      net::write(server, net::buffer(part), ignored);
      io.poll();
      io.restart();
    }
    ErrorCode ignored;
    if (reset) server.set_option(net::socket_base::linger(true, 0), ignored);
    server.close(ignored);
    while (!done) {
      io.run_one();
      io.restart();
    }
    return received;
  }

 private:
  net::awaitable<void> Read(Received& received, bool& done) {
    const TimePoint deadline = Clock::now() + 5s;
    received.fault = co_await connection->Connect(acceptor.local_endpoint(), deadline, 5s);
    connection->StartRequest(RequestMessage(http::verb::get, "/", 11));
    received.fault = co_await connection->ReadHead(deadline);
    if (received.fault == ExchangeFault::kNone) {
      received.status = connection->head().result_int();
      const auto any_size = [](std::size_t) { return true; };
      received.fault = co_await connection->ReadWholeBody(received.body, any_size, deadline);
    }
    connection->Close();
    done = true;
  }

  void AwaitRequest() {
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      io.poll();
      io.restart();
      if (server.available() == 0) continue;
      std::string part(1'024, '\0');
      request += part.substr(0, server.read_some(net::buffer(part)));
    }
  }
};

std::vector<std::string> InParts(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t size = *rc::gen::inRange<std::size_t>(1, 200);
    parts.push_back(text.substr(at, size));
    at += size;
  }
  return parts;
}

void AssertEqual(const Received& received, const Sent& sent) {
  RC_ASSERT(received.status == sent.status);
  RC_ASSERT(received.body == sent.body);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(response_fuzz)

RC_BOOST_PROP(whole_response_is_read_as_it_was_sent, ()) {
  const Sent sent = DrawSent();
  const Received received = Exchange().Play(InParts(sent.text), false);
  RC_ASSERT(received.fault == ExchangeFault::kNone);
  AssertEqual(received, sent);
}

// A response that ends with its connection is whole wherever the server ends it in order.
RC_BOOST_PROP(cut_response_is_a_fault, ()) {
  const Sent sent = DrawSent();
  const auto cut = *rc::gen::inRange<std::size_t>(0, sent.text.size());
  const bool ends_in_body = sent.framing == Framing::kConnection && cut >= sent.head.size();
  const bool reset = ends_in_body || *rc::gen::arbitrary<bool>();
  const Received received = Exchange().Play(InParts(sent.text.substr(0, cut)), reset);
  RC_ASSERT(received.fault != ExchangeFault::kNone);
}

RC_BOOST_PROP(byte_within_a_head_makes_a_fault_or_no_difference, ()) {
  const Sent sent = DrawSent();
  const auto at = *rc::gen::inRange<std::size_t>(0, sent.head.size() - 1);
  const char byte = *rc::gen::elementOf(std::string(" \t\n\x01\x7f\xc3") + '\0');
  std::string text = sent.text;
  text.insert(at, 1, byte);
  const Received received = Exchange().Play(InParts(text), false);
  if (received.fault == ExchangeFault::kNone) AssertEqual(received, sent);
}

RC_BOOST_PROP(other_status_or_framing_is_a_fault, ()) {
  Sent sent = DrawSent();
  const std::string field = *rc::gen::elementOf(std::vector<std::string>{
      "Transfer-Encoding: gzip", "Transfer-Encoding: identity",
      "Transfer-Encoding:", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: gzip, chunked",
      "Transfer-Encoding: chunked;q=1", "Content-Length: +1", "Content-Length: -1",
      "Content-Length: 1, 2", "X-A: 1\r\n 2", "X A: 1", "X-A : 1", "X-A"});
  const std::string status = *rc::gen::elementOf(std::vector<std::string>{
      "000", "001", "042", "099", "101", "600", "999", "2 0", "20", "2000"});
  std::string text = sent.text;
  const std::size_t line = text.rfind("HTTP/1.1 ", sent.head.size());
  if (*rc::gen::arbitrary<bool>()) {
    text.insert(text.find("\r\n", line) + 2, field + "\r\n");
  } else {
    text.replace(line + 9, 3, status);
  }
  const Received received = Exchange().Play(InParts(text), false);
  RC_ASSERT(received.fault != ExchangeFault::kNone);
}

BOOST_AUTO_TEST_SUITE_END()
