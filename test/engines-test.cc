// Cache entries, incarnations, drains and refusals between daemon and engines.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "cluster.h"
#include "scripted_backend.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

const std::string kPrompt(8'000, 'p');

std::uint64_t CachedTokens(const HttpAnswer& answer) {
  const auto body = nlohmann::json::parse(answer.body);
  return body["usage"]["prompt_tokens_details"]["cached_tokens"];
}

std::uint64_t RequestsAt(Cluster& cluster, int engine) {
  return cluster.engine(engine).counts().requests;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(engines)

BOOST_AUTO_TEST_CASE(a_prompt_is_reused_within_a_workspace_and_never_across) {
  ClusterOptions options;
  options.engines = 1;
  Cluster cluster(std::move(options));
  BOOST_TEST(CachedTokens(cluster.Chat(0, kPrompt, false)) == 0U);
  BOOST_TEST(CachedTokens(cluster.Chat(0, kPrompt, false)) > 1'900U);
  BOOST_TEST(CachedTokens(cluster.Chat(0, kPrompt, false, 8, "key-two")) == 0U);
}

BOOST_AUTO_TEST_CASE(no_header_lets_a_caller_choose_a_workspace_or_salt) {
  ClusterOptions options;
  options.engines = 1;
  Cluster cluster(std::move(options));
  cluster.Chat(0, kPrompt, false);
  const std::string body =
      R"({"model":"m","messages":[{"role":"user","content":")" + kPrompt + R"("}]})";
  const HttpAnswer answer = cluster.Call(0, "POST", "/v1/chat/completions", body,
                                         {{"Authorization", "Bearer key-two"},
                                          {"X-Ridgehold-Workspace", "one"},
                                          {"X-Ridgehold-Cache-Salt", "whatever"}});
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(CachedTokens(answer) == 0U);
}

BOOST_AUTO_TEST_CASE(an_engine_restarted_since_the_decision_refuses_and_another_answers) {
  ClusterOptions options;
  options.adjust = [](Settings& settings) { settings.event_poll = 60s; };
  Cluster cluster(std::move(options));
  BOOST_TEST(Eventually([&] {
    const std::string backends = cluster.Dumped(0, "backends");
    return backends.find(cluster.engine(0).incarnation()) != std::string::npos &&
           backends.find(cluster.engine(1).incarnation()) != std::string::npos;
  }));
  cluster.Chat(0, kPrompt, false);
  const int holder = RequestsAt(cluster, 0) > 0 ? 0 : 1;
  cluster.engine(holder).Crash();  // the next poll is a minute away
  const HttpAnswer answer = cluster.Chat(0, kPrompt, false);
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(TextOf(answer) == ExpectedText(kPrompt, 8));
  BOOST_TEST(RequestsAt(cluster, 1 - holder) == 1U);
}

BOOST_AUTO_TEST_CASE(an_engine_with_other_weights_is_not_used_for_this_version) {
  ClusterOptions options;
  options.engines = 1;
  Cluster cluster(std::move(options));
  cluster.engine(0).SetWeights("w2");
  const HttpAnswer answer = cluster.Chat(0, kPrompt, false);
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.headers.Get("X-Ridgehold-Execution") == "not run");
  BOOST_TEST(RequestsAt(cluster, 0) == 0U);
  cluster.Command(0, "change model m weights w2");
  BOOST_TEST(Eventually([&] { return cluster.Chat(0, kPrompt, false).status == 200; }));
}

BOOST_AUTO_TEST_CASE(engines_reload_by_themselves_when_the_model_says_so) {
  ClusterOptions options;
  options.engines = 3;
  Cluster cluster(std::move(options));
  cluster.Chat(0, kPrompt, false);
  BOOST_TEST(cluster.Command(0, "change model m weights w2 reload auto").status == 200);
  BOOST_TEST(Eventually([&] {
    for (int i = 0; i < 3; ++i) {
      if (cluster.engine(i).weights() != "w2") return false;
    }
    return true;
  }));
  HttpAnswer answer;
  BOOST_TEST(Eventually([&] {
    answer = cluster.Chat(0, kPrompt, false);
    return answer.status == 200;
  }));
  // Nothing cached under the old weights is used with the new ones.
  BOOST_TEST(CachedTokens(answer) == 0U);
}

BOOST_AUTO_TEST_CASE(a_drained_engine_gets_nothing_new_and_finishes_its_streams) {
  ClusterOptions options;
  options.engine.decode_step = 5ms;
  Cluster cluster(std::move(options));
  HttpAnswer streamed;
  std::thread caller([&] { streamed = cluster.Chat(0, kPrompt, true, 100); });
  BOOST_TEST(Eventually([&] { return RequestsAt(cluster, 0) + RequestsAt(cluster, 1) == 1; }));
  const int holder = RequestsAt(cluster, 0) > 0 ? 0 : 1;
  BOOST_TEST(cluster.Command(0, "drain backend e" + std::to_string(holder)).status == 200);
  for (int i = 0; i < 5; ++i) BOOST_TEST(cluster.Chat(0, kPrompt, false).status == 200);
  caller.join();
  BOOST_TEST(TextOf(streamed) == ExpectedText(kPrompt, 100));
  BOOST_TEST(RequestsAt(cluster, holder) == 1U);
}

BOOST_AUTO_TEST_CASE(an_engines_own_refusal_because_it_leaves_is_heeded_at_once) {
  ClusterOptions options;
  options.adjust = [](Settings& settings) { settings.event_poll = 60s; };
  Cluster cluster(std::move(options));
  cluster.Chat(0, kPrompt, false);
  const int holder = RequestsAt(cluster, 0) > 0 ? 0 : 1;
  cluster.engine(holder).SetLeaving(true);
  for (int i = 0; i < 5; ++i) BOOST_TEST(cluster.Chat(0, kPrompt, false).status == 200);
  BOOST_TEST(RequestsAt(cluster, holder) == 1U);
  BOOST_TEST(cluster.Metric(0, "ridgehold_retries") == 1);
}

BOOST_AUTO_TEST_CASE(the_platforms_leaving_list_reaches_all_daemons_of_the_zone) {
  ClusterOptions options;
  options.daemons = 2;
  Cluster cluster(std::move(options));
  HttpCall call;
  call.method = "POST";
  call.url = cluster.platform().url() + "/standin/instances";
  call.body = R"([{"id":"e0","state":"leaving"}])";
  ValueOr([&] { return cluster.client().Fetch(call); },
          [](const Failure&) { return HttpAnswer(); });
  const auto marked = [&](int daemon) {
    return cluster.Command(daemon, "explain route workspace one model m prompt x")
               .body.find("\"e0\"") == std::string::npos;
  };
  BOOST_TEST(Eventually([&] { return marked(0) && marked(1); }, 5s));
}

BOOST_AUTO_TEST_CASE(an_unreachable_engine_costs_a_retry_and_then_nothing) {
  Cluster cluster({});
  cluster.Chat(0, kPrompt, false);
  const int holder = RequestsAt(cluster, 0) > 0 ? 0 : 1;
  cluster.KillEngine(holder);
  for (int i = 0; i < 3; ++i) BOOST_TEST(cluster.Chat(0, kPrompt, false).status == 200);
  BOOST_TEST(cluster.Metric(0, "ridgehold_retries") <= 1);
}

BOOST_AUTO_TEST_CASE(with_all_engines_gone_requests_are_refused_as_not_run_at_once) {
  ClusterOptions options;
  options.engines = 1;
  Cluster cluster(std::move(options));
  cluster.KillEngine(0);
  for (int i = 0; i < 3; ++i) {
    const auto start = std::chrono::steady_clock::now();
    const HttpAnswer answer = cluster.Chat(0, kPrompt, false);
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.headers.Get("X-Ridgehold-Execution") == "not run");
    BOOST_TEST(answer.headers.Get("Retry-After") != "");
    BOOST_TEST((std::chrono::steady_clock::now() - start < 1s));
  }
}

BOOST_AUTO_TEST_CASE(a_first_token_that_cannot_come_in_time_is_refused_at_once) {
  ClusterOptions options;
  options.engines = 1;
  options.engine.prefill_tokens_per_s = 100;
  options.adjust = [](Settings& settings) { settings.first_token_deadline = 5s; };
  Cluster cluster(std::move(options));
  BOOST_TEST(Eventually([&] {
    return cluster.Dumped(0, "backends").find(cluster.engine(0).incarnation()) != std::string::npos;
  }));
  const HttpAnswer answer = cluster.Chat(0, kPrompt, false);
  BOOST_TEST(CodeOf(answer) == 2003);
  BOOST_TEST(std::stoi(answer.headers.Get("Retry-After")) >= 15);
  BOOST_TEST(RequestsAt(cluster, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(the_engines_own_complaint_about_a_request_is_passed_on) {
  ScriptedBackend backend([](const RawRequest&) {
    const std::string body = R"({"error":{"message":"too many images"}})";
    return "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  });
  ClusterOptions options;
  options.engines = 0;
  Cluster cluster(std::move(options));
  cluster.Command(0, "create backend odd url " + backend.url() + " zone a engine m");
  const HttpAnswer answer = cluster.Chat(0, kPrompt, true);
  BOOST_TEST(answer.status == 400);
  BOOST_TEST(answer.body.find("too many images") != std::string::npos);
  BOOST_TEST(backend.requests() == 1);
}

// Guards against a part of a complaint that is passed on as the whole of it, since the engine had
// said in the head that it refuses the request.
BOOST_AUTO_TEST_CASE(a_complaint_that_is_cut_is_not_passed_on) {
  ScriptedBackend backend([](const RawRequest&) {
    return std::string(
        "HTTP/1.1 400 Bad Request\r\nX-Ridgehold-Not-Run: 1\r\nContent-Length: 100\r\n\r\n"
        R"({"error":)");
  });
  ClusterOptions options;
  options.engines = 0;
  Cluster cluster(std::move(options));
  cluster.Command(0, "create backend odd url " + backend.url() + " zone a engine m");
  const HttpAnswer answer = cluster.Chat(0, kPrompt, false);
  BOOST_TEST(backend.requests() == 1);
  BOOST_TEST(CodeOf(answer) != 0);
  BOOST_TEST(answer.headers.Get("X-Ridgehold-Execution") == "not run");
}

BOOST_AUTO_TEST_SUITE_END()
