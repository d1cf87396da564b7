// The HTTP client over raw sockets: only a whole response is a complete transfer.

#include "http/client.h"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "scripted_backend.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

constexpr char kStatusLine[] = "HTTP/1.1 200 OK\r\n";
constexpr char kLength[] = "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\n";
constexpr char kChunks[] = "Transfer-Encoding: chunked\r\nX-Field: value\r\n\r\n";
constexpr char kNeither[] = "Content-Type: text/plain\r\nX-Field: value\r\n\r\n";

/// A client, and a server that writes `answer` to each request and closes the connection.
struct Client {
  std::string answer;
  ScriptedBackend server{[this](const RawRequest&) { return answer; }};
  std::unique_ptr<HttpClient> client =
      ValueOr([] { return HttpClient::Create(); }, [](const Failure&) { return nullptr; });

  HttpCall MakeCall(const std::string& method = "GET") const {
    HttpCall call;
    call.method = method;
    call.url = server.url();
    call.total_timeout = 5s;
    call.fresh_connection = true;
    return call;
  }

  TransferOutcome OutcomeOf(HttpCall call) {
    std::promise<TransferOutcome> outcome;
    client->Start(std::move(call),
                  {.on_head = nullptr, .on_body = nullptr, .on_end = [&](const TransferEnd& end) {
                     outcome.set_value(end.outcome);
                   }});
    return outcome.get_future().get();
  }

  /// The status of the response that Fetch returns; none if it fails.
  std::optional<int> FetchStatus(HttpCall call) {
    return ValueOr(
        [&]() -> Result<std::optional<int>> {
          BOOST_LEAF_AUTO(received, client->Fetch(std::move(call)));
          return std::optional(received.status);
        },
        [](const Failure&) { return std::optional<int>(); });
  }

  /// Cuts `whole` after `begin` bytes and after each further byte before `end`: each transfer must
  /// be a broken one.
  void CheckCuts(const std::string& whole, std::size_t begin, std::size_t end) {
    for (std::size_t cut = begin; cut < end; ++cut) {
      BOOST_TEST_CONTEXT("cut after " << cut << " bytes: " << whole.substr(0, cut)) {
        answer = whole.substr(0, cut);
        BOOST_TEST((OutcomeOf(MakeCall()) == TransferOutcome::kBroken));
        BOOST_TEST(!FetchStatus(MakeCall()).has_value());
      }
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_client, Client)

// Guards against a head that is cut after its status line and taken for a complete response.
BOOST_AUTO_TEST_CASE(head_cut_after_any_byte_is_broken) {
  for (const std::string fields : {kLength, kChunks, kNeither}) {
    const std::string head = kStatusLine + fields;
    CheckCuts(head, 0, head.size());
  }
}

// Guards against the blank line of an interim response being taken for the end of the final head.
BOOST_AUTO_TEST_CASE(head_cut_after_an_interim_response_is_broken) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
  const std::string head = interim + kStatusLine + kLength;
  CheckCuts(head, 0, head.size());
}

BOOST_AUTO_TEST_CASE(body_cut_after_any_byte_is_broken) {
  const std::string length_head = std::string(kStatusLine) + kLength;
  CheckCuts(length_head + "body", length_head.size(), length_head.size() + 4);
  const std::string chunks_head = std::string(kStatusLine) + kChunks;
  const std::string chunks = chunks_head + "4\r\nbody\r\n0\r\n\r\n";
  // libcurl does not wait for the line feed after the last chunk, which ends the body (RFC 9112,
  // 8).
  CheckCuts(chunks, chunks_head.size(), chunks.size() - 1);
}

// Guards against a part of a body that is taken for the whole of it: the end of a connection is
// also what the kernel of a killed process sends.
BOOST_AUTO_TEST_CASE(body_with_neither_length_nor_chunks_is_broken) {
  const std::vector<std::string> unframed = {
      std::string(kStatusLine) + kNeither, std::string(kStatusLine) + kNeither + "body",
      std::string(kStatusLine) + "Connection: close\r\n\r\nbody", "HTTP/1.0 200 OK\r\n\r\nbody",
      std::string(kStatusLine) + "Transfer-Encoding: identity\r\n\r\nbody"};
  for (const std::string& text : unframed) {
    BOOST_TEST_CONTEXT(text) {
      answer = text;
      BOOST_TEST((OutcomeOf(MakeCall()) == TransferOutcome::kBroken));
      BOOST_TEST(!FetchStatus(MakeCall()).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(responses_that_have_no_body_need_neither_length_nor_chunks) {
  for (const std::string status : {"204 No Content", "304 Not Modified"}) {
    answer = "HTTP/1.1 " + status + "\r\nX-Field: value\r\n\r\n";
    BOOST_TEST((OutcomeOf(MakeCall()) == TransferOutcome::kComplete));
  }
  answer = std::string(kStatusLine) + kNeither;
  BOOST_TEST((OutcomeOf(MakeCall("HEAD")) == TransferOutcome::kComplete));
}

BOOST_AUTO_TEST_CASE(whole_responses_are_complete) {
  const std::vector<std::string> whole = {
      std::string(kStatusLine) + kLength + "body",
      "HTTP/1.0 200 OK\r\n" + std::string(kLength) + "body",
      std::string(kStatusLine) + "content-length:0\r\n\r\n",
      std::string(kStatusLine) + kChunks + "4\r\nbody\r\n0\r\n\r\n",
      std::string(kStatusLine) + "transfer-encoding: gzip,Chunked\r\n\r\n0\r\n\r\n",
      std::string(kStatusLine) + kChunks + "4\r\nbody\r\n0\r\nX-Trailer: value\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\n\r\n" + std::string(kStatusLine) + kLength + "body"};
  for (const std::string& text : whole) {
    BOOST_TEST_CONTEXT(text) {
      answer = text;
      BOOST_TEST((OutcomeOf(MakeCall()) == TransferOutcome::kComplete));
      BOOST_TEST(FetchStatus(MakeCall()).value_or(0) == 200);
    }
  }
}

// Guards against bytes that are no response, or that hold the text of another one, and are taken
// for a complete response.
BOOST_AUTO_TEST_CASE(responses_with_an_odd_status_or_field_are_broken) {
  const std::string whole = std::string(kStatusLine) + kLength + "body";
  const std::string around = "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + whole;
  std::vector<std::string> odd;
  for (const std::string status : {"000", "001", "042", "099", "101", "600", "999"}) {
    odd.push_back("HTTP/1.1 " + status + " Text\r\n" + kLength + "body");
    odd.push_back("HTTP/1.1 " + status + " Text\r\n" + around);
  }
  odd.push_back("HTTP/1.1 199 Text\r\n" + around);
  for (const std::string field : {"X-A: 1\r\n 2", "X-A: 1\r\n\t2", "X A: 1", "X\tA: 1", "X-A : 1",
                                  "X\x01-A: 1", "X\x7f-A: 1", "X-A", ": 1"}) {
    odd.push_back(std::string(kStatusLine) + field + "\r\n" + kLength + "body");
  }
  for (const std::string& text : odd) {
    BOOST_TEST_CONTEXT(text) {
      answer = text;
      BOOST_TEST((OutcomeOf(MakeCall()) == TransferOutcome::kBroken));
      BOOST_TEST(!FetchStatus(MakeCall()).has_value());
    }
  }
}

// Guards against a request that was read by a server and counts as not sent, so that a call which
// must run at most once is sent again.
BOOST_AUTO_TEST_CASE(response_without_a_status_line_is_broken) {
  for (const std::string text : {"no head at all", "\r\n\r\n", "OK\r\n\r\nbody"}) {
    BOOST_TEST_CONTEXT(text) {
      answer = text;
      BOOST_TEST((OutcomeOf(MakeCall()) == TransferOutcome::kBroken));
    }
  }
}

// Guards against a request on a kept connection that counts as not sent because libcurl sends it
// once more, to an address that refuses connections by then.
BOOST_AUTO_TEST_CASE(request_to_a_server_that_ends_before_its_response_is_broken) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  HttpCall call = MakeCall();
  call.fresh_connection = false;
  call.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::thread process([&] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(socket, asio::buffer(std::string(kStatusLine) + kLength + "body"));
    request.clear();
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    acceptor.close();
  });
  BOOST_TEST((OutcomeOf(call) == TransferOutcome::kComplete));
  BOOST_TEST((OutcomeOf(call) == TransferOutcome::kBroken));
  process.join();
}

BOOST_AUTO_TEST_CASE(request_to_an_address_that_refuses_connections_is_not_sent) {
  HttpCall call = MakeCall();
  {
    asio::io_context io;
    asio::ip::tcp::acceptor closed(io, {asio::ip::address_v4::loopback(), 0});
    call.url = "http://127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  }
  BOOST_TEST((OutcomeOf(call) == TransferOutcome::kNotSent));
}

BOOST_AUTO_TEST_SUITE_END()
