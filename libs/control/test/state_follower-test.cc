#include "control/state_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "memory_store.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

/// Keys are `config`, `weights`, `release` and `backend/ID`. The value `bad` is malformed; a
/// backend server's value is `draining`, `@` and its address, or its release.
struct TestCodec {
  static Result<DecodedItem> Decode(const StoreItem& item) {
    if (item.value == "bad") return Fail(ResultCode::kPlatformMalformed, "bad");
    if (item.key == "config") {
      RoutingConfig parts;
      parts.version = ConfigVersion(std::stoull(item.value));
      return DecodedItem(parts);
    }
    if (item.key == "weights") {
      return DecodedItem(DesiredWeights{ModelId("m"), WeightsNumber(std::stoull(item.value))});
    }
    if (item.key == "release") {
      return DecodedItem(ReleaseOrder{ServiceId("s"), ReleaseId(item.value)});
    }
    if (const auto id = BackendOf(item.key)) {
      BackendEntry entry;
      entry.id = *id;
      entry.service = ServiceId("s");
      entry.release = ReleaseId(item.value);
      entry.draining = item.value == "draining";
      if (item.value.starts_with('@')) entry.address = item.value.substr(1);
      return DecodedItem(entry);
    }
    return DecodedItem(IgnoredItem{});
  }

  static std::optional<BackendId> BackendOf(std::string_view key) {
    constexpr std::string_view kPrefix = "backend/";
    if (!key.starts_with(kPrefix)) return std::nullopt;
    return BackendId(std::string(key.substr(kPrefix.size())));
  }
};

using Follower = StateFollower<MemoryStore, TestCodec>;

struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), {}, {}, metrics};
  InstanceRecords records;
  MemoryTable table{io.get_executor()};
  MemoryStore store{table, 1};
  Follower::Options options;
  std::unique_ptr<Follower> follower;
  std::chrono::milliseconds watch_timeout{100};
  std::chrono::milliseconds batch_delay{5};

  void Start() {
    options.watch_timeout = watch_timeout;
    options.max_backoff = 50ms;
    options.batch_delay = batch_delay;
    follower = std::make_unique<Follower>(store, state, records, options);
    net::co_spawn(io, follower->Run(), net::detached);
    io.run_for(50ms);
  }

  std::uint64_t Config() const {
    return state.snapshot() ? state.snapshot()->version().value() : 0;
  }
  bool Has(const std::string& id) { return state.directory().Find(BackendId(id)) != nullptr; }

  /// Applies the changes, or the copy, that an up-to-date peer would send now.
  void ApplyChangesOfPeer() {
    const StoreRevision known = follower->revision();
    follower->ApplyChanges(*table.After(known), StoreRevision(table.revision()), Clock::now());
  }
  void ApplyCopyOfPeer() {
    std::vector<StoreItem> items;
    for (const auto& [key, item] : table.items()) items.push_back(item);
    follower->ApplyCopy(std::move(items), StoreRevision(table.revision()), Clock::now());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(state_follower, Fixture)

BOOST_AUTO_TEST_CASE(listing_and_changes_are_applied) {
  table.Put("config", "3");
  table.Put("backend/b1", "x");
  Start();
  BOOST_TEST(Config() == 3);
  BOOST_TEST(Has("b1"));
  table.Put("config", "5");
  table.Put("backend/b2", "x");
  table.Remove("backend/b1");
  io.run_for(50ms);
  BOOST_TEST(Config() == 5);
  BOOST_TEST(Has("b2"));
  BOOST_TEST(!Has("b1"));
}

// Guards against a restarted instance that never uses the live one of two processes which are
// registered at one address, because its id sorts first.
BOOST_AUTO_TEST_CASE(listing_tells_nothing_of_the_order_of_two_at_one_address) {
  const auto usable = [&] { return state.directory().Usable(ServiceId("s"), Clock::now()); };
  table.Put("backend/ended", "@10.0.0.1:1");
  table.Put("backend/alive", "@10.0.0.1:1");
  Start();
  BOOST_TEST(usable().size() == 2U);
  table.Remove("backend/ended");
  io.run_for(50ms);
  BOOST_REQUIRE(usable().size() == 1U);
  BOOST_TEST((usable()[0]->entry.id == BackendId("alive")));
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_are_batched_and_none_is_missed) {
  batch_delay = 150ms;
  options.watch_timeout = 5s;
  table.Put("config", "1");
  Start();
  const int before = store.watches;
  for (int i = 0; i < 30; ++i) {
    table.Put("backend/b" + std::to_string(i), "x");
    io.run_for(10ms);
  }
  BOOST_TEST(store.watches - before <= 4);
  io.run_for(400ms);
  for (int i = 0; i < 30; ++i) BOOST_TEST(Has("b" + std::to_string(i)));
}

BOOST_AUTO_TEST_CASE(configuration_never_goes_back) {
  table.Put("config", "5");
  Start();
  table.Put("config", "4");
  io.run_for(50ms);
  BOOST_TEST(Config() == 5);
}

BOOST_AUTO_TEST_CASE(malformed_value_affects_nothing_else) {
  table.Put("backend/b1", "bad");
  table.Put("backend/b2", "x");
  table.Put("config", "2");
  Start();
  table.Put("config", "bad");
  table.Put("backend/b3", "x");
  io.run_for(50ms);
  BOOST_TEST(!Has("b1"));
  BOOST_TEST(Has("b2"));
  BOOST_TEST(Has("b3"));
  BOOST_TEST(Config() == 2);
  BOOST_TEST(metrics.GetCounter("ridgehold_malformed_facts").value() == 2);
}

BOOST_AUTO_TEST_CASE(backend_whose_registration_becomes_malformed_is_not_used) {
  table.Put("backend/b1", "x");
  table.Put("backend/b2", "x");
  Start();
  BOOST_REQUIRE(Has("b1"));
  table.Put("backend/b1", "bad");
  io.run_for(50ms);
  BOOST_TEST(!Has("b1"));
  BOOST_TEST(Has("b2"));
  table.Put("backend/b1", "x");
  io.run_for(50ms);
  BOOST_TEST(Has("b1"));
}

BOOST_AUTO_TEST_CASE(malformed_registration_in_a_listing_removes_its_backend) {
  table.Put("backend/b1", "x");
  table.Put("backend/b2", "x");
  Start();
  store.faults.down = true;
  io.run_for(StoreConnectivity::kMinOutage + 200ms);
  table.Put("backend/b1", "bad");
  table.ForgetHistory();
  store.faults.down = false;
  io.run_for(300ms);
  BOOST_TEST(!Has("b1"));
  BOOST_TEST(Has("b2"));
}

BOOST_AUTO_TEST_CASE(malformed_registration_in_a_peers_copy_removes_its_backend) {
  table.Put("backend/b1", "x");
  table.Put("backend/b2", "x");
  Start();
  store.faults.down = true;
  io.run_for(50ms);
  table.Put("backend/b1", "bad");
  ApplyChangesOfPeer();
  BOOST_TEST(!Has("b1"));
  BOOST_TEST(Has("b2"));
  table.Put("backend/b2", "bad");
  table.Put("backend/b3", "x");
  ApplyCopyOfPeer();
  BOOST_TEST(!Has("b2"));
  BOOST_TEST(Has("b3"));
}

BOOST_AUTO_TEST_CASE(malformed_values_are_counted_and_their_log_lines_limited) {
  Start();
  for (int i = 0; i < 60; ++i) table.Put("backend/b" + std::to_string(i), "bad");
  io.run_for(100ms);
  BOOST_TEST(metrics.GetCounter("ridgehold_malformed_facts").value() == 60);
}

BOOST_AUTO_TEST_CASE(compacted_history_leads_to_a_new_listing) {
  table.Put("backend/b1", "x");
  Start();
  store.faults.down = true;
  io.run_for(120ms);
  table.Remove("backend/b1");
  table.Put("backend/b2", "x");
  table.ForgetHistory();
  store.faults.down = false;
  io.run_for(200ms);
  BOOST_TEST(!Has("b1"));
  BOOST_TEST(Has("b2"));
}

BOOST_AUTO_TEST_CASE(empty_watches_keep_the_configuration_confirmed) {
  table.Put("config", "1");
  Start();
  io.run_for(600ms);
  BOOST_TEST((Clock::now() - state.confirmed_at() < 250ms));
  store.faults.down = true;
  io.run_for(400ms);
  BOOST_TEST((Clock::now() - state.confirmed_at() > 250ms));
}

BOOST_AUTO_TEST_CASE(registration_missing_after_an_outage_has_a_grace_period) {
  table.Put("backend/b1", "x");
  Start();
  store.faults.down = true;
  io.run_for(StoreConnectivity::kMinOutage + 200ms);
  table.Remove("backend/b1");
  store.faults.down = false;
  io.run_for(300ms);
  BOOST_REQUIRE(Has("b1"));
  BOOST_TEST(state.directory().Find(BackendId("b1"))->grace_until.has_value());
  BOOST_TEST(state.directory().Usable(ServiceId("s"), Clock::now()).size() == 1);
}

BOOST_AUTO_TEST_CASE(peers_copy_is_applied_only_if_it_is_newer) {
  table.Put("config", "3");
  Start();
  const TimePoint now = Clock::now();
  const auto item = [](const std::string& version) {
    return StoreItem{"config", version, StoreRevision(9), {}};
  };
  follower->ApplyCopy({item("2")}, StoreRevision(0), now + 1s);
  BOOST_TEST(Config() == 3);
  BOOST_TEST((state.confirmed_at() < now + 1s));
  follower->ApplyCopy({item("7")}, StoreRevision(9), now + 1s);
  BOOST_TEST(Config() == 7);
  BOOST_TEST((state.confirmed_at() == now + 1s));
}

BOOST_AUTO_TEST_CASE(age_of_weights_found_at_the_start_is_assumed_and_of_later_ones_known) {
  table.Put("weights", "2");
  Start();
  const auto& namings = state.named_weights().all().at(ModelId("m"));
  BOOST_TEST(namings[0].assumed);
  BOOST_TEST((Clock::now() - namings[0].at > 4s));
  table.Put("weights", "3");
  io.run_for(50ms);
  BOOST_TEST(!namings[1].assumed);
  BOOST_TEST((Clock::now() - namings[1].at < 1s));
}

BOOST_AUTO_TEST_CASE(members_are_counted) {
  Start();
  table.Put("ridgehold/members/a", "127.0.0.2 z1");
  table.Put("ridgehold/members/b", "127.0.0.3 z2");
  table.Put("ridgehold/members/c", "127.0.0.4 z2");
  table.Put("ridgehold/members/d", "malformed");
  io.run_for(50ms);
  BOOST_TEST(state.gateways() == 3);
  BOOST_TEST(records.ZoneRelay(ZoneId("z2"))->address == "127.0.0.3");
  BOOST_TEST(!records.ZoneRelay(ZoneId("z3")).has_value());
  table.Remove("ridgehold/members/b");
  io.run_for(50ms);
  BOOST_TEST(state.gateways() == 2);
  BOOST_TEST(records.ZoneRelay(ZoneId("z2"))->address == "127.0.0.4");
}

BOOST_AUTO_TEST_CASE(peer_can_follow_the_changes_of_a_follower) {
  table.Put("config", "3");
  Start();
  const StoreRevision before = follower->revision();
  table.Put("config", "5");
  table.Put("backend/b1", "x");
  table.Remove("backend/b1");
  io.run_for(50ms);
  const auto changes = follower->ChangesAfter(before);
  BOOST_REQUIRE(changes.has_value());
  // Each key once, with its latest change: the peer needs nothing that was undone since.
  BOOST_REQUIRE(changes->size() == 2);
  BOOST_TEST((*changes)[0].key == "config");
  BOOST_TEST((*changes)[1].key == "backend/b1");
  BOOST_TEST(!(*changes)[1].item.has_value());
  BOOST_TEST(!follower->ChangesAfter(StoreRevision(0)).has_value());

  GatewayState other{io.get_executor(), ZoneId("a"), {}, {}, metrics};
  InstanceRecords other_records;
  Follower second(store, other, other_records, {});
  second.ApplyCopy({{"config", "3", before, {}}}, before, Clock::now());
  second.ApplyChanges(*changes, follower->revision(), Clock::now());
  BOOST_TEST((other.snapshot()->version() == ConfigVersion(5)));
  BOOST_TEST((other.directory().Find(BackendId("b1")) == nullptr));
  BOOST_TEST((second.revision() == follower->revision()));
}

BOOST_AUTO_TEST_CASE(follower_of_a_peer_does_not_call_the_store) {
  options.follows_peer = [] { return true; };
  options.peer_poll_interval = 5ms;
  table.Put("config", "3");
  Start();
  BOOST_TEST(Config() == 3);
  table.Put("config", "4");
  io.run_for(100ms);
  BOOST_TEST(Config() == 3);
}

// Age limits count from the write to the store. Here the pause after an earlier change delays the
// update.
BOOST_AUTO_TEST_CASE(age_of_weights_counts_from_before_their_write) {
  batch_delay = 150ms;
  Start();
  table.Put("backend/b1", "x");
  io.run_for(50ms);
  const TimePoint written = Clock::now();
  table.Put("weights", "2");
  io.run_for(300ms);
  const auto since = state.named_weights().NewestAnnouncedAt(ModelId("m"));
  BOOST_REQUIRE(since.has_value());
  BOOST_TEST((*since <= written));
  BOOST_TEST((*since >= written - 200ms));
}

BOOST_AUTO_TEST_CASE(late_watch_answer_does_not_undo_changes_from_a_peer) {
  table.Put("backend/b1", "draining");
  Start();
  store.faults.late_reads = 80ms;
  table.Put("backend/b1", "x");
  table.Put("backend/b2", "x");
  io.run_for(20ms);
  table.Put("backend/b1", "draining");
  table.Remove("backend/b2");
  const StoreRevision before = follower->revision();
  ApplyChangesOfPeer();
  io.run_for(80ms);
  BOOST_TEST(state.directory().Find(BackendId("b1"))->entry.draining);
  BOOST_TEST(!Has("b2"));
  BOOST_TEST(follower->items().at("backend/b1").value == "draining");
  // The latest change of each key, and nothing that an earlier one would undo.
  const auto changes = follower->ChangesAfter(before);
  BOOST_REQUIRE(changes.has_value());
  BOOST_REQUIRE(changes->size() == 2);
  BOOST_TEST((*changes)[0].item->value == "draining");
  BOOST_TEST((*changes)[1].key == "backend/b2");
  BOOST_TEST(!(*changes)[1].item.has_value());
}

BOOST_AUTO_TEST_CASE(all_changes_of_a_transaction_are_applied) {
  table.Put("backend/b1", "x");
  Start();
  const StoreRevision revision(table.revision() + 1);
  const std::vector<StoreEvent> changes = {
      {"backend/b1", revision, std::nullopt},
      {"backend/b2", revision, StoreItem{"backend/b2", "x", revision, {}}}};
  follower->ApplyChanges(changes, revision, Clock::now());
  BOOST_TEST(!Has("b1"));
  BOOST_TEST(Has("b2"));
}

BOOST_AUTO_TEST_CASE(listing_older_than_a_peers_copy_applied_meanwhile_is_ignored) {
  store.faults.late_reads = 80ms;
  table.Put("backend/b1", "x");
  Start();
  table.Put("backend/b1", "draining");
  table.Put("backend/b2", "x");
  ApplyCopyOfPeer();
  const StoreRevision taken = follower->revision();
  io.run_for(60ms);
  BOOST_TEST((follower->revision() == taken));
  BOOST_TEST(state.directory().Find(BackendId("b1"))->entry.draining);
  BOOST_TEST(Has("b2"));
}

BOOST_AUTO_TEST_CASE(registration_missing_in_a_copy_has_a_grace_period_while_own_calls_fail) {
  store.faults.down = true;
  Start();
  table.Put("backend/b1", "x");
  table.Put("backend/b2", "x");
  ApplyCopyOfPeer();
  table.Remove("backend/b1");
  ApplyChangesOfPeer();
  BOOST_REQUIRE(Has("b1"));
  BOOST_TEST(state.directory().Find(BackendId("b1"))->grace_until.has_value());
  table.Remove("backend/b2");
  ApplyCopyOfPeer();
  BOOST_TEST(Has("b2"));
}

BOOST_AUTO_TEST_CASE(registration_missing_after_an_outage_seen_by_the_sender_has_a_grace_period) {
  options.follows_peer = [] { return true; };
  table.Put("backend/b1", "x");
  table.Put("backend/b2", "x");
  Start();
  const TimePoint settled = Clock::now() + 1s;
  table.Remove("backend/b1");
  follower->ApplyChanges(*table.After(follower->revision()), StoreRevision(table.revision()),
                         Clock::now(), settled);
  BOOST_REQUIRE(Has("b1"));
  BOOST_TEST((*state.directory().Find(BackendId("b1"))->grace_until <= settled));
  table.Remove("backend/b2");
  follower->ApplyCopy({}, StoreRevision(table.revision()), Clock::now(), settled);
  BOOST_TEST(Has("b2"));
}

BOOST_AUTO_TEST_CASE(failed_call_after_a_time_without_calls_is_no_outage) {
  bool follows = false;
  options.follows_peer = [&] { return follows; };
  options.peer_poll_interval = 5ms;
  table.Put("backend/b1", "x");
  Start();
  follows = true;
  io.run_for(StoreConnectivity::kMinOutage + 200ms);
  follows = false;
  store.faults.down = true;
  io.run_for(60ms);
  store.faults.down = false;
  table.Remove("backend/b1");
  io.run_for(200ms);
  BOOST_TEST(!Has("b1"));
}

BOOST_AUTO_TEST_CASE(failed_call_before_a_time_without_calls_is_no_outage) {
  bool follows = false;
  options.follows_peer = [&] { return follows; };
  options.peer_poll_interval = 5ms;
  table.Put("backend/b1", "x");
  Start();
  store.faults.down = true;
  io.run_for(60ms);
  follows = true;
  io.run_for(StoreConnectivity::kMinOutage + 200ms);
  follows = false;
  store.faults.down = false;
  table.Remove("backend/b1");
  io.run_for(200ms);
  BOOST_TEST(!Has("b1"));
}

BOOST_AUTO_TEST_CASE(late_empty_watch_answer_confirms_only_the_time_of_its_request) {
  table.Put("config", "1");
  Start();
  store.faults.late_reads = 250ms;
  io.run_for(20ms);
  const TimePoint answered = Clock::now();
  table.Put("config", "2");
  io.run_for(260ms);
  BOOST_TEST(Config() == 1);
  BOOST_TEST((state.confirmed_at() < answered));
  io.run_for(300ms);
  BOOST_TEST(Config() == 2);
}

BOOST_AUTO_TEST_CASE(recovery_of_the_store_is_noticed_before_a_watch_times_out) {
  watch_timeout = 5s;
  Start();
  store.faults.down = true;
  io.run_for(60ms);
  BOOST_TEST(!follower->connected());
  store.faults.down = false;
  io.run_for(400ms);
  BOOST_TEST(follower->connected());
}

// The pattern: 6 % of a large fleet's engines end at once and the store drops its history. If the
// instance that watches the store then served a full copy to all others, each of hundreds would
// read thousands of items at the same time.
BOOST_AUTO_TEST_CASE(peers_get_only_the_difference_after_many_changes_and_a_new_listing) {
  constexpr int kEngines = 4'000;
  for (int i = 0; i < kEngines; ++i) table.Put("backend/b" + std::to_string(i), "x");
  Start();
  const StoreRevision before = follower->revision();
  for (int i = 0; i < 1'500; ++i) table.Remove("backend/b" + std::to_string(i));
  io.run_for(100ms);
  BOOST_REQUIRE(follower->ChangesAfter(before).has_value());
  BOOST_TEST(follower->ChangesAfter(before)->size() == 1'500U);

  store.faults.down = true;
  io.run_for(120ms);
  const StoreRevision stale = follower->revision();
  table.Remove("backend/b2000");
  table.Put("backend/new", "x");
  table.ForgetHistory();
  store.faults.down = false;
  io.run_for(300ms);
  BOOST_REQUIRE(Has("new"));
  const auto changes = follower->ChangesAfter(stale);
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->size() == 2U);
}

// A release that the operator has ordered may be bad, and no more than a tenth of a service's
// requests may reach a bad one.
BOOST_AUTO_TEST_CASE(ordered_release_gets_no_requests_until_the_order_is_withdrawn) {
  table.Put("backend/b1", "v1");
  table.Put("backend/b2", "v2");
  Start();
  const auto usable = [&] { return state.directory().Usable(ServiceId("s"), Clock::now()).size(); };
  BOOST_TEST(usable() == 2U);
  table.Put("release", "v2");
  io.run_for(50ms);
  BOOST_TEST(usable() == 1U);
  ApplyCopyOfPeer();
  BOOST_TEST(usable() == 1U);
  table.Remove("release");
  io.run_for(50ms);
  BOOST_TEST(usable() == 2U);
}

// The load: hundreds of instances that start together, and thousands of registrations.
BOOST_AUTO_TEST_CASE(store_of_several_pages_is_left_to_peers_while_they_may_have_a_copy) {
  for (int i = 0; i < 10; ++i) table.Put("backend/b" + std::to_string(i), "x");
  store.page_size = 4;
  bool awaits_copy = true;
  int found_large = 0;
  options.peer_poll_interval = 5ms;
  options.awaits_copy = [&] { return awaits_copy; };
  options.on_large_store = [&] { ++found_large; };
  Start();
  io.run_for(200ms);
  BOOST_TEST(found_large == 1);
  BOOST_TEST(store.listings == 1);
  BOOST_TEST(!follower->ready());
  awaits_copy = false;
  io.run_for(200ms);
  BOOST_TEST(follower->ready());
  BOOST_TEST(store.listings == 4);
  BOOST_TEST(state.directory().all().size() == 10U);
}

BOOST_AUTO_TEST_CASE(no_page_is_read_of_a_store_that_the_survey_finds_large) {
  for (int i = 0; i < 10; ++i) table.Put("backend/b" + std::to_string(i), "x");
  options.survey = []() -> net::awaitable<StoreResult<StoreSize>> { co_return StoreSize::kLarge; };
  options.awaits_copy = [] { return true; };
  Start();
  io.run_for(200ms);
  BOOST_TEST(store.listings == 0);
  ApplyCopyOfPeer();
  BOOST_TEST(follower->ready());
}

// Guards against listings by a whole fleet as soon as the store answers again.
BOOST_AUTO_TEST_CASE(store_is_not_listed_before_the_survey_succeeds) {
  table.Put("config", "3");
  bool answers = false;
  options.survey = [&]() -> net::awaitable<StoreResult<StoreSize>> {
    if (!answers) co_return StoreError::kUnavailable;
    co_return StoreSize::kUnknown;
  };
  Start();
  io.run_for(200ms);
  BOOST_TEST(store.listings == 0);
  answers = true;
  io.run_for(200ms);
  BOOST_TEST(follower->ready());
  BOOST_TEST(Config() == 3);
}

// A small fleet gains nothing by waiting for each other, and is back sooner after a power loss.
BOOST_AUTO_TEST_CASE(store_of_one_page_is_listed_at_once) {
  table.Put("config", "3");
  options.awaits_copy = [] { return true; };
  Start();
  BOOST_TEST(follower->ready());
  BOOST_TEST(store.listings == 1);
}

// Each page that fails is read again by itself.
BOOST_AUTO_TEST_CASE(listing_continues_at_the_page_that_failed) {
  for (int i = 0; i < 10; ++i) table.Put("backend/b" + std::to_string(i), "x");
  store.page_size = 4;
  options.on_large_store = [&] { store.faults.down = true; };
  Start();
  io.run_for(100ms);
  BOOST_TEST(!follower->ready());
  store.faults.down = false;
  io.run_for(200ms);
  BOOST_TEST(follower->ready());
  BOOST_TEST(state.directory().all().size() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
