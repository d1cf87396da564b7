#include "entry/release_recorder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "memory_store.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

const ServiceId kService("s");
const ReleaseId kV1("v1");
const ReleaseId kV2("v2");
constexpr char kKey[] = "ridgehold/releases/s";

/// Counts all writing calls, also those that fail.
struct CountingStore : MemoryStore {
  using MemoryStore::MemoryStore;

  net::awaitable<StoreResult<StoreRevision>> Commit(StoreTransaction transaction) {
    ++commits;
    return MemoryStore::Commit(std::move(transaction));
  }

  int commits = 0;
};

struct Fixture {
  using Recorder = ReleaseRecorder<CountingStore>;

  void Start(std::size_t rank) {
    Recorder::Options options;
    options.services = [] { return std::vector{kService}; };
    options.record_of = [this](const ServiceId& /*service*/) { return known; };
    options.on_missing = [this](const ServiceId& /*service*/) { ++missing; };
    options.connected = [this] { return connected; };
    options.rank = [rank] { return rank; };
    options.poll_interval = 5ms;
    options.delay_per_rank = 50ms;
    recorder = std::make_unique<Recorder>(store, io.get_executor(), records, std::move(options));
    net::co_spawn(io, recorder->Run(), net::detached);
  }

  /// The local copy follows the store.
  void Follow() {
    for (const auto& [key, item] : table.items()) records.Put(item);
  }

  std::optional<ReleaseRecord> Stored() {
    const auto item = table.items().find(kKey);
    if (item == table.items().end()) return std::nullopt;
    return DecodeReleaseRecord(item->second.value);
  }

  net::io_context io;
  MemoryTable table{io.get_executor()};
  CountingStore store{table, 1};
  InstanceRecords records;
  ReleaseRecord known{{kV1}, true};
  bool connected = true;
  int missing = 0;
  std::unique_ptr<Recorder> recorder;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(release_recorder, Fixture)

BOOST_AUTO_TEST_CASE(change_is_written_once) {
  Start(0);
  io.run_for(30ms);
  BOOST_TEST((Stored() == known));
  BOOST_TEST(missing > 0);
  Follow();
  io.run_for(30ms);
  known.releases.insert(kV2);
  io.run_for(30ms);
  BOOST_TEST((Stored() == known));
  Follow();
  io.run_for(30ms);
  BOOST_TEST(store.commits == 2);
}

BOOST_AUTO_TEST_CASE(gateways_write_in_turn) {
  Start(2);
  io.run_for(60ms);
  BOOST_TEST(store.commits == 0);
  io.run_for(100ms);
  BOOST_TEST(store.commits == 1);
}

// Guards against a gateway that repeats a write at each poll until its local copy has changed.
BOOST_AUTO_TEST_CASE(write_is_not_repeated_before_the_copy_can_have_changed) {
  Start(1);
  io.run_for(300ms);
  BOOST_TEST(store.commits == 1);
}

// Guards against a record that the store refuses, or that is written again and again, because
// thousands of releases have been registered.
BOOST_AUTO_TEST_CASE(record_of_many_releases_is_bounded_and_incomplete) {
  constexpr int kReleases = 5'000;
  constexpr std::size_t kNameBytes = 250;
  for (int i = 0; i < kReleases; ++i) {
    known.releases.insert(ReleaseId(std::string(kNameBytes, 'v') + std::to_string(i)));
  }
  Start(0);
  io.run_for(100ms);
  BOOST_REQUIRE(Stored().has_value());
  BOOST_TEST(table.items().at(kKey).value.size() <= kMaxReleaseRecordBytes + 2);
  BOOST_TEST(Stored()->releases.size() > 100U);
  BOOST_TEST(!Stored()->complete);
  Follow();
  io.run_for(700ms);
  BOOST_TEST(store.commits == 1);
}

BOOST_AUTO_TEST_CASE(nothing_is_written_without_a_release_or_without_the_store) {
  known.releases.clear();
  Start(0);
  io.run_for(30ms);
  known.releases.insert(kV1);
  connected = false;
  io.run_for(30ms);
  BOOST_TEST(store.commits == 0);
}

BOOST_AUTO_TEST_SUITE_END()
