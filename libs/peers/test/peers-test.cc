#include <rapidcheck/boost_test.h>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

#include "peers/load_messages.h"
#include "peers/news_codec.h"
#include "peers/peer_loads.h"
#include "peers/store_copy.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const TimePoint kStart{1h};

struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), GatewayLimits{}, PlacementCosts{}, metrics};
  PeerLoads loads{state};

  Fixture() {
    BackendEntry entry;
    entry.id = BackendId("b");
    state.directory().Put(entry);
  }

  Backend& backend() { return *state.directory().Find(BackendId("b")); }

  static GossipMessage News(const std::string& daemon, std::uint64_t sequence,
                            std::uint32_t running) {
    GossipMessage news;
    news.daemon = DaemonId(daemon);
    news.incarnation = 1;
    news.sequence = sequence;
    if (running > 0) news.loads = {{HashOf(BackendId("b")), running, running * 100, 1}};
    return news;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peers, Fixture)

BOOST_AUTO_TEST_CASE(peer_loads_add_up_and_are_replaced_by_newer_messages) {
  loads.Apply(News("d1", 1, 3), kStart);
  loads.Apply(News("d2", 1, 4), kStart);
  BOOST_TEST(backend().peers.running == 7);
  loads.Apply(News("d1", 2, 1), kStart);
  BOOST_TEST(backend().peers.running == 5);
  BOOST_TEST(backend().peers.unread_tokens == 500);
  loads.Apply(News("d1", 3, 0), kStart);
  loads.Apply(News("d2", 2, 0), kStart);
  BOOST_TEST(backend().peers.running == 0);
  BOOST_TEST(backend().peers.unrepeatable == 0);
}

BOOST_AUTO_TEST_CASE(reordered_message_is_ignored) {
  loads.Apply(News("d1", 5, 3), kStart);
  BOOST_TEST(!loads.Apply(News("d1", 4, 9), kStart));
  BOOST_TEST(backend().peers.running == 3);
}

BOOST_AUTO_TEST_CASE(restarted_peer_resets_its_sequence) {
  loads.Apply(News("d1", 50, 3), kStart);
  GossipMessage news = News("d1", 1, 2);
  news.incarnation = 2;
  BOOST_TEST(loads.Apply(news, kStart));
  BOOST_TEST(backend().peers.running == 2);
}

BOOST_AUTO_TEST_CASE(silent_peer_expires) {
  loads.Apply(News("d1", 1, 3), kStart);
  loads.Expire(kStart + 1s);
  BOOST_TEST(loads.size() == 1);
  loads.Expire(kStart + 2s);
  BOOST_TEST(loads.size() == 0);
  BOOST_TEST(backend().peers.running == 0);
}

// A message that is lost, or a gateway that falls silent, must not leave an engine without room.
BOOST_AUTO_TEST_CASE(account_of_memory_is_right_after_lost_messages_and_silence) {
  const auto hear = [this](const std::string& daemon, std::uint64_t sequence, std::uint64_t held) {
    GossipMessage news = News(daemon, sequence, 1);
    news.loads[0].memory_tokens = held;
    loads.Apply(*DecodeNews(EncodeNews(news)), kStart + sequence * 1s);
  };
  hear("d1", 1, 9'000);
  hear("d2", 1, 6'000);
  BOOST_TEST(backend().peers.memory_tokens == 15'000);
  hear("d2", 3, 500);  // the second message was lost
  BOOST_TEST(backend().peers.memory_tokens == 9'500);
  loads.Expire(kStart + 4s);
  BOOST_TEST(backend().peers.memory_tokens == 500);
  LoadAnswerMessage answer;
  answer.daemon = DaemonId("d1");
  answer.backends.push_back(state.ReportOn(backend(), LoadQuestion(), kStart));
  const auto decoded = std::get<LoadAnswerMessage>(*DecodePeerMessage(Encode(answer)));
  BOOST_TEST(decoded.backends[0].work.memory_tokens == 500);
}

BOOST_AUTO_TEST_CASE(backend_notices_round_trip) {
  PushbackUpdateList sent;
  sent.items.push_back(
      {5, 3, RequestRate::FromPerSecond(1.2), true, std::chrono::milliseconds(2'500)});
  sent.items.push_back({6, 1, std::nullopt, false, std::nullopt});
  const auto decoded = DecodePeerMessage(Encode(DaemonId("d1"), sent));
  BOOST_REQUIRE(static_cast<bool>(decoded));
  const auto* news = std::get_if<PushbackUpdateList>(&*decoded);
  BOOST_REQUIRE(news != nullptr);
  BOOST_TEST((news->items == sent.items));
}

BOOST_AUTO_TEST_CASE(unknown_backend_servers_are_ignored) {
  GossipMessage news = News("d1", 1, 3);
  news.loads[0].backend = 77;
  news.items.holds = {{77, 1s}};
  news.items.placed = {{77, 10, 4, {{1, 3}, {2, 3}}}};
  BOOST_TEST(loads.Apply(news, kStart));
  BOOST_TEST(backend().peers.running == 0);
}

BOOST_AUTO_TEST_CASE(holds_prefixes_and_weights_are_applied) {
  GossipMessage news = News("d1", 1, 0);
  const BackendHash hash = HashOf(BackendId("b"));
  news.items.holds = {{hash, 2s}};
  news.items.weights = {{hash, kModel, WeightsNumber(3)}};
  loads.Apply(news, kStart);
  BOOST_TEST((backend().hold_until == kStart + 2s));
  BOOST_TEST((backend().weights.at(kModel) == WeightsNumber(3)));
  news.sequence = 2;
  news.items = {};
  news.items.placed = {{hash, 400, 100, {{11, 200}, {12, 100}}}};
  loads.Apply(news, kStart);
  BOOST_TEST(backend().cache.Contains(11));
  BOOST_TEST(backend().cache.tokens() == 400U);
}

RC_BOOST_PROP(news_round_trips, ()) {
  GossipMessage news;
  news.daemon = DaemonId("d" + *rc::gen::arbitrary<std::string>());
  news.incarnation = *rc::gen::arbitrary<std::uint64_t>();
  news.sequence = *rc::gen::arbitrary<std::uint64_t>();
  const auto count = *rc::gen::inRange(0, 20);
  for (int i = 0; i < count; ++i) {
    const auto any = *rc::gen::arbitrary<std::uint64_t>();
    news.loads.push_back({any, 1, 2, 3});
    news.items.placed.push_back({any, 5, 4, {{any, 7}, {any + 1, 8}}});
    news.items.holds.push_back({any, 5ms});
    news.items.weights.push_back({any, kModel, WeightsNumber(any)});
    news.namings.push_back({kModel, WeightsNumber(any), 7ms, any % 2 == 0});
    news.items.performance.push_back({any, {50, 61.5}});
  }
  const auto decoded = DecodeNews(EncodeNews(news));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(EncodeNews(*decoded) == EncodeNews(news));
}

RC_BOOST_PROP(question_and_answer_round_trip, ()) {
  LoadQuestionMessage question;
  question.daemon = DaemonId("d");
  question.id = *rc::gen::arbitrary<std::uint64_t>();
  question.backends = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
  question.parts = {{*rc::gen::arbitrary<std::uint64_t>(), 0}};
  question.model = kModel;
  question.weights = WeightsNumber(3);
  question.store = 9;
  question.wants_namings = true;
  question.workspace = *rc::gen::arbitrary<std::uint64_t>();
  question.service = 8;
  const auto read = DecodePeerMessage(Encode(question));
  RC_ASSERT(read.has_value());
  RC_ASSERT(Encode(std::get<LoadQuestionMessage>(*read)) == Encode(question));
  LoadAnswerMessage answer;
  answer.daemon = DaemonId("d");
  answer.id = question.id;
  for (const BackendHash backend : question.backends) {
    answer.backends.push_back(
        {backend, {1, 2, 3, 4}, 20ms, WeightsNumber(5), {60, 50, 7}, 8ms, false, {1'700, 500}});
  }
  answer.store = StoreReport{9, 100, 3ms};
  answer.namings = {{kModel, WeightsNumber(5), 7ms}, {kModel, WeightsNumber(6), 2ms, true}};
  answer.workspace_sample = {3, 7};
  answer.demand = DemandSample{2.5, 100, 0};
  const auto answered = DecodePeerMessage(Encode(answer));
  RC_ASSERT(answered.has_value());
  RC_ASSERT(Encode(std::get<LoadAnswerMessage>(*answered)) == Encode(answer));
  RC_ASSERT(FailureOf([&] { return DecodeNews(Encode(answer)); }).has_value());
}

// A share above one, or one that is not a number, would mark workspaces as over their shares.
BOOST_AUTO_TEST_CASE(answer_with_impossible_shares_is_rejected) {
  LoadAnswerMessage answer;
  answer.daemon = DaemonId("d");
  answer.workspace_sample = {7, 7};
  BOOST_TEST(DecodePeerMessage(Encode(answer)).has_value());
  for (const WorkspaceSample sample :
       {WorkspaceSample{8, 7}, {-1, 7}, {1, std::numeric_limits<double>::quiet_NaN()}}) {
    answer.workspace_sample = sample;
    const auto failure = FailureOf([&] { return DecodePeerMessage(Encode(answer)); });
    BOOST_REQUIRE(failure.has_value());
    BOOST_TEST((failure->code == ResultCode::kMalformedPeerMessage));
  }
}

// A number that no fleet reaches would outweigh the samples of all other gateways.
BOOST_AUTO_TEST_CASE(answer_with_an_impossible_demand_is_dropped) {
  LoadAnswerMessage answer;
  answer.daemon = DaemonId("d");
  for (const double rate : {-1.0, 1e30}) {
    answer.demand = DemandSample{0, rate, 0};
    BOOST_TEST((FailureOf([&] { return DecodePeerMessage(Encode(answer)); })->code ==
                ResultCode::kMalformedPeerMessage));
  }
}

RC_BOOST_PROP(any_bytes_are_decoded_or_rejected, (const std::string& bytes)) {
  FailureOf([&] { return DecodeNews(bytes); });
  FailureOf([&] { return DecodePeerMessage(bytes); });
  FailureOf([&] { return DecodeStoreCopy(bytes); });
}

BOOST_AUTO_TEST_CASE(observed_waits_make_the_reported_slowness) {
  GossipMessage news = News("d1", 1, 0);
  BOOST_TEST(state.ReportOn(backend(), {}, kStart).performance.slowness == 0U);
  news.items.performance = {{HashOf(BackendId("b")), {100'000, 180'000}}, {77, {100, 100}}};
  loads.Apply(*DecodeNews(EncodeNews(news)), kStart);
  const PerformanceReport report = state.ReportOn(backend(), {}, kStart).performance;
  BOOST_TEST(report.slowness == 1'800U);
  BOOST_TEST(report.home_weight == 500U);
}

BOOST_AUTO_TEST_CASE(impossible_waits_are_rejected) {
  for (const PerformanceSample sample :
       {PerformanceSample{0, 0}, {-1, 1}, {100, 401}, {100, -1}, {INFINITY, 1}, {100, NAN}}) {
    GossipMessage news = News("d1", 1, 0);
    news.items.performance = {{HashOf(BackendId("b")), sample}};
    const auto failure = FailureOf([&]() -> Result<void> {
      BOOST_LEAF_CHECK(DecodeNews(EncodeNews(news)));
      return {};
    });
    BOOST_REQUIRE(failure.has_value());
    BOOST_TEST((failure->code == ResultCode::kMalformedPeerMessage));
  }
}

BOOST_AUTO_TEST_CASE(store_copy_round_trips) {
  StoreCopy copy;
  copy.revision = StoreRevision(9);
  copy.age = 120ms;
  copy.is_snapshot = true;
  copy.grace = 1'700ms;
  copy.store_unreachable = true;
  copy.changes = {
      {"key", StoreRevision(4), StoreItem{"key", std::string("\0\xff", 2), StoreRevision(4), {}}},
      {"gone", StoreRevision(5), std::nullopt}};
  const auto decoded = DecodeStoreCopy(EncodeStoreCopy(copy));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->revision == copy.revision));
  BOOST_TEST((decoded->age == copy.age));
  BOOST_TEST(decoded->is_snapshot);
  BOOST_TEST((decoded->grace == copy.grace));
  BOOST_TEST(decoded->store_unreachable);
  BOOST_TEST(decoded->changes.at(0).item->value == copy.changes[0].item->value);
  BOOST_TEST(!decoded->changes.at(1).item.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
