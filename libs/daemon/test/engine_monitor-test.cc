#include "daemon/engine_monitor.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "config/change_log.h"
#include "http/client.h"
#include "log/log.h"
#include "metrics/metrics.h"

using namespace ridgehold;
using nlohmann::json;

namespace {

const TimePoint kStart{std::chrono::hours(1)};
const BackendId kEngine("e0");

struct Fixture {
  Fixture() {
    StartLog("error", "plain");
    client = ValueOr([] { return HttpClient::Create(); },
                     [](const Failure&) { return std::unique_ptr<HttpClient>(); });
    monitor = std::make_unique<EngineMonitor>(router, *client, metrics, EngineMonitor::Options{});
    const Config config = ValueOr(
        [] {
          return ApplyScript(Config(),
                             "create model m weights w1\n"
                             "create backend e0 url http://127.0.0.1:1 zone a engine m\n");
        },
        [](const Failure&) { return Config(); });
    router.Update(config);
  }

  void Events(const std::string& incarnation, const json& events) {
    const json load = {{"incarnation", incarnation}, {"weights", "w1"}};
    monitor->TakeEvents(
        kEngine, json{{"incarnation", incarnation}, {"load", load}, {"events", events}}.dump(),
        kStart);
  }

  Router router{ZoneId("a"), Duration{0}, 1'000};
  Metrics metrics;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<EngineMonitor> monitor;
};

json Event(std::uint64_t sequence, const char* kind, const char* block) {
  return {{"seq", sequence}, {"kind", kind}, {"blocks", {block}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_monitor)

BOOST_FIXTURE_TEST_CASE(events_build_the_picture_and_gaps_are_counted, Fixture) {
  Events("i1", json::array());
  Events("i1",
         json::array({Event(1, "stored", "a"), Event(2, "stored", "b"), Event(3, "removed", "a")}));
  BOOST_TEST(router.picture_size() == 1U);
  BOOST_TEST(metrics.GetCounter("ridgehold_cache_event_gaps").value() == 0U);
  Events("i1", json::array({Event(5, "stored", "c")}));
  BOOST_TEST(metrics.GetCounter("ridgehold_cache_event_gaps").value() == 1U);
  Events("i1", json::array({Event(5, "stored", "d")}));  // seen before
  BOOST_TEST(router.picture_size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(the_first_sync_is_not_done_before_the_first_poll, Fixture) {
  BOOST_TEST(!monitor->FirstSyncDone());
}

BOOST_FIXTURE_TEST_CASE(late_events_and_lists_of_an_earlier_incarnation_are_ignored, Fixture) {
  Events("i1", json::array());
  Events("i1", json::array({Event(1, "stored", "a")}));
  Events("i2", json::array({Event(1, "stored", "b")}));
  BOOST_TEST(router.picture_size() == 0U);
  monitor->TakeBlocks(kEngine, json{{"incarnation", "i1"}, {"seq", 9}, {"blocks", {"c"}}}.dump(),
                      kStart);
  BOOST_TEST(router.picture_size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(malformed_answers_are_counted_and_change_nothing, Fixture) {
  Events("i1", json::array());
  Events("i1", json::array({Event(1, "stored", "a")}));
  for (const char* body : {"", "{", "[]", "{\"load\":3}", R"({"load":{"incarnation":7}})"}) {
    monitor->TakeEvents(kEngine, body, kStart);
    monitor->TakeBlocks(kEngine, body, kStart);
  }
  Events("i1", json::array({Event(2, "stored", "not hex")}));
  BOOST_TEST(router.picture_size() == 1U);
  BOOST_TEST(metrics.GetCounter("ridgehold_cache_malformed").value() == 11U);
}

RC_BOOST_FIXTURE_PROP(arbitrary_bytes_never_crash, Fixture, (const std::string& bytes)) {
  monitor->TakeEvents(kEngine, bytes, kStart);
  monitor->TakeBlocks(kEngine, bytes, kStart);
}

BOOST_AUTO_TEST_SUITE_END()
