// Streamed answers end to end: whole, in order, the caller's own.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "cluster.h"
#include "scripted_backend.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

const std::string kPrompt(2'000, 'p');

/// A cluster whose only engine is `backend`, plus a true engine as a spare when wanted.
std::unique_ptr<Cluster> ClusterOn(const ScriptedBackend& backend, int spares) {
  ClusterOptions options;
  options.engines = spares;
  auto cluster = std::make_unique<Cluster>(std::move(options));
  cluster->Command(0, "create backend odd url " + backend.url() + " zone a engine m");
  return cluster;
}

bool EndsWithDone(const HttpAnswer& answer) {
  const auto events = EventsOf(answer.body);
  return !events.empty() && events.back() == "[DONE]";
}

/// Sends chats until the scripted backend got one; prefixes differ, so that
/// placement cannot keep avoiding it.
HttpAnswer ChatThrough(Cluster& cluster, const ScriptedBackend& backend, int tokens,
                       std::string& prompt) {
  HttpAnswer answer;
  for (int i = 0; i < 64 && backend.requests() == 0; ++i) {
    prompt = std::to_string(i) + kPrompt;
    answer = cluster.Chat(0, prompt, true, tokens);
  }
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(streams)

BOOST_AUTO_TEST_CASE(a_stream_and_a_whole_answer_are_what_the_engine_said) {
  Cluster cluster({});
  const HttpAnswer streamed = cluster.Chat(0, kPrompt, true, 20);
  BOOST_TEST(streamed.status == 200);
  BOOST_TEST(TextOf(streamed) == ExpectedText(kPrompt, 20));
  BOOST_TEST(EndsWithDone(streamed));
  BOOST_TEST(TextOf(cluster.Chat(0, kPrompt, false, 20)) == ExpectedText(kPrompt, 20));
}

BOOST_AUTO_TEST_CASE(an_engine_that_crashes_mid_stream_is_replaced_at_the_exact_token) {
  ClusterOptions options;
  options.engine.decode_step = 5ms;
  Cluster cluster(std::move(options));
  std::atomic<bool> ended{false};
  std::thread crasher([&] {
    // Whichever engine streams, it crashes; the other one carries on.
    Eventually([&] {
      for (int i = 0; i < 2; ++i) {
        if (cluster.engine(i).counts().requests == 0) continue;
        std::this_thread::sleep_for(100ms);
        cluster.engine(i).Crash();
        return true;
      }
      return ended.load();
    });
  });
  const HttpAnswer answer = cluster.Chat(0, kPrompt, true, 60);
  ended.store(true);
  crasher.join();
  BOOST_TEST(TextOf(answer) == ExpectedText(kPrompt, 60));
  BOOST_TEST(EndsWithDone(answer));
  BOOST_TEST(cluster.Metric(0, "ridgehold_retries") == 1);
}

BOOST_AUTO_TEST_CASE(an_engine_that_freezes_mid_stream_is_replaced_at_the_exact_token) {
  ClusterOptions options;
  options.engine.decode_step = 5ms;
  Cluster cluster(std::move(options));
  std::thread freezer([&] {
    Eventually([&] {
      for (int i = 0; i < 2; ++i) {
        if (cluster.engine(i).counts().requests == 0) continue;
        std::this_thread::sleep_for(100ms);
        cluster.engine(i).SetFrozen(true);
        return true;
      }
      return false;
    });
  });
  const HttpAnswer answer = cluster.Chat(0, kPrompt, true, 60);
  freezer.join();
  BOOST_TEST(TextOf(answer) == ExpectedText(kPrompt, 60));
  BOOST_TEST(EndsWithDone(answer));
}

BOOST_AUTO_TEST_CASE(no_end_marker_and_no_spare_engine_is_an_explicit_error_never_done) {
  ScriptedBackend backend([](const RawRequest& request) {
    return StreamHead(request) + StreamFrame(request, 0, TokenData("one ")) +
           StreamFrame(request, 1, TokenData("two "));
  });
  const auto cluster = ClusterOn(backend, 0);
  const HttpAnswer answer = cluster->Chat(0, kPrompt, true);
  const auto events = EventsOf(answer.body);
  BOOST_TEST(TextOf(answer) == "one two ");
  BOOST_TEST(!EndsWithDone(answer));
  const auto last = nlohmann::json::parse(events.back());
  BOOST_TEST(last["error"]["execution"] == "unknown");
}

BOOST_AUTO_TEST_CASE(half_a_frame_never_reaches_the_caller) {
  ScriptedBackend backend([](const RawRequest& request) {
    const std::string frame = StreamFrame(request, 1, TokenData("half"));
    return StreamHead(request) + StreamFrame(request, 0, TokenData("one ")) +
           frame.substr(0, frame.size() - 8);
  });
  const auto cluster = ClusterOn(backend, 0);
  const HttpAnswer answer = cluster->Chat(0, kPrompt, true);
  BOOST_TEST(TextOf(answer) == "one ");
  BOOST_TEST(!EndsWithDone(answer));
}

BOOST_AUTO_TEST_CASE(duplicated_frames_are_passed_once) {
  ScriptedBackend backend([](const RawRequest& request) {
    return StreamHead(request) + StreamFrame(request, 0, TokenData("one ")) +
           StreamFrame(request, 0, TokenData("one ")) + StreamFrame(request, 1, "[DONE]");
  });
  const auto cluster = ClusterOn(backend, 0);
  const HttpAnswer answer = cluster->Chat(0, kPrompt, true);
  BOOST_TEST(TextOf(answer) == "one ");
  BOOST_TEST(EndsWithDone(answer));
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_not_passed_on_and_tried_elsewhere) {
  ScriptedBackend backend([](const RawRequest& request) {
    RawRequest other = request;
    const std::string id = request.Header("X-Ridgehold-Request-Id");
    other.text.replace(other.text.find(id), id.size(), "someone-elses");
    return StreamHead(other) + StreamFrame(other, 0, TokenData("SECRET"));
  });
  const auto cluster = ClusterOn(backend, 1);
  std::string prompt;
  const HttpAnswer answer = ChatThrough(*cluster, backend, 8, prompt);
  BOOST_TEST(backend.requests() == 1);
  BOOST_TEST(answer.body.find("SECRET") == std::string::npos);
  BOOST_TEST(TextOf(answer) == ExpectedText(prompt, 8));
}

BOOST_AUTO_TEST_CASE(frames_of_another_incarnation_end_the_attempt_and_the_answer_is_resumed) {
  ScriptedBackend backend([](const RawRequest& request) {
    return StreamHead(request) + StreamFrame(request, 0, TokenData("x"), "restarted");
  });
  const auto cluster = ClusterOn(backend, 1);
  std::string prompt;
  const HttpAnswer answer = ChatThrough(*cluster, backend, 8, prompt);
  BOOST_TEST(backend.requests() == 1);
  BOOST_TEST(TextOf(answer) == ExpectedText(prompt, 8));
  BOOST_TEST(EndsWithDone(answer));
}

BOOST_AUTO_TEST_CASE(a_resume_at_another_offset_is_refused) {
  std::atomic<int> attempts{0};
  const auto script = [&](const RawRequest& request) {
    const bool first = ++attempts == 1;
    // The second engine starts over with another answer.
    return StreamHead(request) + StreamFrame(request, 0, TokenData(first ? "one " : "uno ")) +
           (first ? ""
                  : StreamFrame(request, 1, TokenData("dos ")) + StreamFrame(request, 2, "[DONE]"));
  };
  ScriptedBackend one(script);
  ScriptedBackend two(script);
  const auto cluster = ClusterOn(one, 0);
  cluster->Command(0, "create backend odd2 url " + two.url() + " zone a engine m");
  const HttpAnswer answer = cluster->Chat(0, kPrompt, true);
  BOOST_TEST(attempts.load() == 2);
  BOOST_TEST(TextOf(answer) == "one ");
  BOOST_TEST(!EndsWithDone(answer));
}

BOOST_AUTO_TEST_CASE(a_caller_that_goes_away_frees_the_engine) {
  ClusterOptions options;
  options.engines = 1;
  options.engine.decode_step = 2ms;
  Cluster cluster(std::move(options));
  HttpCall call;
  call.method = "POST";
  call.url = cluster.daemon(0).caller_url() + "/v1/chat/completions";
  call.headers = {{"Authorization", "Bearer key-one"}};
  call.body = R"({"model":"m","stream":true,"max_tokens":100000,"messages":[]})";
  std::atomic<bool> receiving{false};
  std::atomic<bool> ended{false};
  auto transfer = cluster.client().Start(
      std::move(call), {.on_head = nullptr,
                        .on_body =
                            [&](std::string_view) {
                              receiving.store(true);
                              return true;
                            },
                        .on_end = [&](const TransferEnd&) { ended.store(true); }});
  BOOST_TEST(Eventually([&] { return receiving.load(); }));
  transfer->Cancel();
  BOOST_TEST(Eventually([&] { return ended.load(); }));
  BOOST_TEST(Eventually([&] { return cluster.engine(0).counts().cancelled == 1; }));
  BOOST_TEST(Eventually([&] { return cluster.Dumped(0, "requests") == "[]"; }));
}

BOOST_AUTO_TEST_CASE(a_slow_caller_holds_the_engine_back_and_memory_stays_bounded) {
  ClusterOptions options;
  options.engines = 0;
  options.adjust = [](Settings& settings) { settings.stream_buffer_bytes = 64 << 10; };
  Cluster cluster(std::move(options));
  // 64 MB of frames: more than sockets on the way can hold.
  constexpr int kFrames = 1'000;
  const std::string filler(64 << 10, 'x');
  ScriptedBackend backend([&](const RawRequest& request) {
    std::string answer = StreamHead(request);
    for (int i = 0; i < kFrames; ++i) answer += StreamFrame(request, i, TokenData(filler));
    return answer + StreamFrame(request, kFrames, "[DONE]");
  });
  cluster.Command(0, "create backend odd url " + backend.url() + " zone a engine m");
  HttpCall call;
  call.method = "POST";
  call.url = cluster.daemon(0).caller_url() + "/v1/chat/completions";
  call.headers = {{"Authorization", "Bearer key-one"}};
  call.body = R"({"model":"m","stream":true,"messages":[]})";
  std::atomic<bool> reading{false};
  std::atomic<std::size_t> received{0};
  std::atomic<bool> whole{false};
  auto transfer = cluster.client().Start(
      std::move(call), {.on_head = nullptr,
                        .on_body =
                            [&](std::string_view bytes) {
                              if (!reading.load()) return false;
                              received += bytes.size();
                              return true;
                            },
                        .on_end =
                            [&](const TransferEnd& end) {
                              whole.store(end.outcome == TransferOutcome::kComplete);
                            }});
  // The daemon must stop taking frames while the caller takes none.
  BOOST_TEST(Eventually([&] { return backend.requests() == 1; }));
  std::this_thread::sleep_for(500ms);
  BOOST_TEST(cluster.Dumped(0, "requests") != "[]");
  reading.store(true);
  transfer->Resume();
  BOOST_TEST(Eventually([&] { return whole.load(); }, 30s));
  BOOST_TEST(received.load() > std::size_t{kFrames} * filler.size());
}

BOOST_AUTO_TEST_SUITE_END()
