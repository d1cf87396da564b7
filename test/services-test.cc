// Plain services: at most once, "not run" means not run, callers' errors.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "cluster.h"
#include "scripted_backend.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

Headers Key(const std::string& key) {
  return {{"Authorization", "Bearer key-one"}, {"Idempotency-Key", key}};
}

ClusterOptions TwoDaemons() {
  ClusterOptions options;
  options.engines = 0;
  options.daemons = 2;
  return options;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(services)

BOOST_AUTO_TEST_CASE(a_call_is_passed_on_whole_and_its_answer_back) {
  ScriptedBackend backend([](const RawRequest& request) {
    const std::string body = request.text.substr(0, request.text.find("\r\n"));
    return "HTTP/1.1 201 Created\r\nX-Custom: kept\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  });
  ClusterOptions options;
  options.engines = 0;
  Cluster cluster(std::move(options));
  cluster.Command(0, "create backend s1 url " + backend.url() +
                         " zone a service other\n"
                         "create rule other path /other service other repeatable yes");
  const HttpAnswer answer = cluster.Call(0, "PUT", "/other/thing?x=1", "body");
  BOOST_TEST(answer.status == 201);
  BOOST_TEST(answer.body == "PUT /other/thing?x=1 HTTP/1.1");
  BOOST_TEST(answer.headers.Get("X-Custom") == "kept");
}

BOOST_AUTO_TEST_CASE(the_same_key_through_two_entry_instances_runs_once) {
  Cluster cluster(TwoDaemons());
  const HttpAnswer first = cluster.Call(0, "POST", "/app/swap", "swap-1", Key("k"));
  const HttpAnswer second = cluster.Call(1, "POST", "/app/swap", "swap-1", Key("k"));
  BOOST_TEST(first.status == 200);
  BOOST_TEST(second.body == first.body);
  BOOST_TEST(second.headers.Get("X-Ridgehold-Replayed") == "1");
  BOOST_TEST(cluster.service().executions("swap-1") == 1U);
  BOOST_TEST(CodeOf(cluster.Call(1, "POST", "/app/swap", "other", Key("k"))) == 1006);
  // Another workspace's key of the same name is another key.
  cluster.Call(0, "POST", "/app/swap", "swap-2",
               {{"Authorization", "Bearer key-two"}, {"Idempotency-Key", "k"}});
  BOOST_TEST(cluster.service().executions("swap-2") == 1U);
}

BOOST_AUTO_TEST_CASE(callers_racing_with_one_key_through_two_instances_run_it_once) {
  ClusterOptions options = TwoDaemons();
  options.service_delay = 100ms;
  Cluster cluster(std::move(options));
  std::vector<std::thread> callers;
  std::atomic<int> answered{0};
  std::atomic<int> told_to_wait{0};
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      const HttpAnswer answer = cluster.Call(i % 2, "POST", "/app/swap", "race", Key("k"));
      answered += answer.status == 200 ? 1 : 0;
      told_to_wait += CodeOf(answer) == 1007 && answer.headers.Find("Retry-After") ? 1 : 0;
    });
  }
  for (auto& caller : callers) caller.join();
  BOOST_TEST(cluster.service().executions("race") == 1U);
  BOOST_TEST(answered + told_to_wait == 8);
}

BOOST_AUTO_TEST_CASE(
    a_crash_of_the_first_instance_leaves_the_outcome_unknown_and_runs_nothing_twice) {
  ClusterOptions options = TwoDaemons();
  options.service_delay = 300ms;
  options.adjust = [](Settings& settings) { settings.service_timeout = 1s; };
  Cluster cluster(std::move(options));
  std::thread caller([&] { cluster.Call(0, "POST", "/app/swap", "crash", Key("k")); });
  BOOST_TEST(Eventually([&] { return cluster.service().executions("crash") == 1; }));
  cluster.KillDaemon(0);
  caller.join();
  const int code = CodeOf(cluster.Call(1, "POST", "/app/swap", "crash", Key("k")));
  BOOST_TEST(code == 1007);
  // Claims count as running for the longest call and the clocks' skew.
  BOOST_TEST(Eventually(
      [&] { return CodeOf(cluster.Call(1, "POST", "/app/swap", "crash", Key("k"))) == 4004; },
      15s));
  BOOST_TEST(cluster.service().executions("crash") == 1U);
}

BOOST_AUTO_TEST_CASE(lost_answers_of_the_platform_neither_run_a_call_twice_nor_lose_it) {
  Cluster cluster(TwoDaemons());
  cluster.Call(0, "POST", "/app/swap", "warm", Key("warm"));
  cluster.platform().SetFaults({.down = false, .lose_answers = true, .delay_ms = 0});
  const HttpAnswer first = cluster.Call(0, "POST", "/app/swap", "lost", Key("k"));
  cluster.platform().SetFaults({});
  const bool ran = cluster.service().executions("lost") == 1;
  if (!ran) BOOST_TEST(first.headers.Get("X-Ridgehold-Execution") == "not run");
  cluster.Call(1, "POST", "/app/swap", "lost", Key("k"));
  BOOST_TEST(cluster.service().executions("lost") <= 1U);
}

BOOST_AUTO_TEST_CASE(with_the_platform_down_a_call_with_a_key_is_refused_as_not_run) {
  Cluster cluster(TwoDaemons());
  cluster.platform().SetFaults({.down = true, .lose_answers = false, .delay_ms = 0});
  const HttpAnswer answer = cluster.Call(0, "POST", "/app/swap", "down", Key("k"));
  BOOST_TEST(CodeOf(answer) == 4001);
  BOOST_TEST(answer.headers.Get("X-Ridgehold-Execution") == "not run");
  BOOST_TEST(answer.headers.Get("Retry-After") != "");
  BOOST_TEST(cluster.service().executions("down") == 0U);
  // Calls that need no agreement go on.
  BOOST_TEST(cluster.Call(0, "POST", "/app/x", "no key").status == 200);
}

BOOST_AUTO_TEST_CASE(a_call_that_may_not_repeat_is_sent_once_when_the_connection_breaks) {
  ScriptedBackend one([](const RawRequest&) { return std::string(); });
  ScriptedBackend two([](const RawRequest&) { return std::string(); });
  ClusterOptions options;
  options.engines = 0;
  Cluster cluster(std::move(options));
  cluster.Command(0, "create backend s1 url " + one.url() + " zone a service frail\n" +
                         "create backend s2 url " + two.url() + " zone a service frail\n" +
                         "create rule once path /once service frail repeatable no dedup none\n" +
                         "create rule many path /many service frail repeatable yes dedup none\n");
  const HttpAnswer once = cluster.Call(0, "POST", "/once", "x");
  BOOST_TEST(one.requests() + two.requests() == 1);
  BOOST_TEST(CodeOf(once) == 3004);
  BOOST_TEST(once.headers.Get("X-Ridgehold-Execution") == "unknown");
}

// Guards against a call that its server has read, but that counts as not run and is sent to another
// server because the answer is no HTTP.
BOOST_AUTO_TEST_CASE(a_call_that_may_not_repeat_is_sent_once_when_the_answer_is_no_http) {
  ScriptedBackend one([](const RawRequest&) { return std::string("no head\r\n\r\n"); });
  ScriptedBackend two([](const RawRequest&) { return std::string("no head\r\n\r\n"); });
  ClusterOptions options;
  options.engines = 0;
  Cluster cluster(std::move(options));
  cluster.Command(0, "create backend s1 url " + one.url() + " zone a service frail\n" +
                         "create backend s2 url " + two.url() + " zone a service frail\n" +
                         "create rule once path /once service frail repeatable no dedup none\n");
  const HttpAnswer once = cluster.Call(0, "POST", "/once", "x");
  BOOST_TEST(one.requests() + two.requests() == 1);
  BOOST_TEST(CodeOf(once) == 3004);
  BOOST_TEST(once.headers.Get("X-Ridgehold-Execution") == "unknown");
}

// Guards against a part of an answer that is passed on as the whole of it.
BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_after_any_byte_is_not_passed_on) {
  const std::vector<std::string> whole = {
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody."};
  std::vector<std::string> cuts;
  for (const std::string& answer : whole) {
    for (std::size_t cut = 0; cut < answer.size(); ++cut) cuts.push_back(answer.substr(0, cut));
  }
  ScriptedBackend backend([&](const RawRequest& request) {
    return cuts.at(std::stoul(request.text.substr(std::string("POST /cut").size())));
  });
  // A service for each cut: a server that failed gets no calls for a time.
  std::string script;
  for (std::size_t i = 0; i < cuts.size(); ++i) {
    const std::string number = std::to_string(i);
    script += "create backend cut" + number + " url " + backend.url() + " zone a service cut" +
              number + "\ncreate rule cut" + number + " path /cut" + number + " service cut" +
              number + " repeatable no dedup none\n";
  }
  ClusterOptions options;
  options.engines = 0;
  Cluster cluster(std::move(options));
  const HttpAnswer configured = cluster.Command(0, script);
  BOOST_TEST_REQUIRE(configured.status == 200, configured.body);
  for (std::size_t i = 0; i < cuts.size(); ++i) {
    BOOST_TEST_CONTEXT(cuts[i]) {
      BOOST_TEST(CodeOf(cluster.Call(0, "POST", "/cut" + std::to_string(i), "x")) == 3004);
    }
  }
  BOOST_TEST(static_cast<std::size_t>(backend.requests()) == cuts.size());
}

BOOST_AUTO_TEST_CASE(a_call_that_may_repeat_is_sent_again_and_never_called_not_run) {
  ScriptedBackend one([](const RawRequest&) { return std::string(); });
  ClusterOptions options;
  options.engines = 0;
  Cluster cluster(std::move(options));
  cluster.Command(0, "create backend s1 url " + one.url() + " zone a service frail\n" +
                         "create rule many path /many service frail repeatable yes dedup none\n");
  const HttpAnswer answer = cluster.Call(0, "POST", "/many", "x");
  // No second instance was left to try; still, the first may have run it.
  BOOST_TEST(one.requests() == 1);
  BOOST_TEST(answer.headers.Get("X-Ridgehold-Execution") == "unknown");
}

BOOST_AUTO_TEST_CASE(a_service_that_refuses_connections_did_not_run_the_call) {
  ClusterOptions options;
  options.engines = 0;
  Cluster cluster(std::move(options));
  cluster.Command(0,
                  "create backend dead url http://127.0.0.1:1 zone a service gone\n"
                  "create rule gone path /gone service gone repeatable no dedup none\n");
  const HttpAnswer answer = cluster.Call(0, "POST", "/gone", "x");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.headers.Get("X-Ridgehold-Execution") == "not run");
}

BOOST_AUTO_TEST_CASE(callers_errors_have_their_codes) {
  Cluster cluster({});
  BOOST_TEST(CodeOf(cluster.Call(0, "GET", "/v1/models", "", {{"Authorization", "Bearer no"}})) ==
             1002);
  BOOST_TEST(CodeOf(cluster.Call(0, "POST", "/v1/chat/completions", "{")) == 1001);
  BOOST_TEST(CodeOf(cluster.Call(0, "POST", "/v1/chat/completions",
                                 R"({"model":"none","messages":[]})")) == 1003);
  BOOST_TEST(CodeOf(cluster.Call(0, "GET", "/nowhere", "")) == 1004);
  BOOST_TEST(CodeOf(cluster.Call(0, "POST", "/app/x", std::string((16 << 20) + 1, 'x'))) == 1005);
  const auto models = nlohmann::json::parse(cluster.Call(0, "GET", "/v1/models", "").body);
  BOOST_TEST(models["data"][0]["id"] == "m");
  BOOST_TEST(cluster.Call(0, "GET", "/v1/models/m", "").status == 200);
  BOOST_TEST(CodeOf(cluster.Call(0, "GET", "/v1/models/x", "")) == 1003);
}

BOOST_AUTO_TEST_SUITE_END()
