#include "entry/peer_discovery.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <vector>

#include "memory_store.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

using Discovery = PeerDiscovery<MemoryStore>;

/// An instance that registers some time after the others and then looks for them.
struct Instance {
  Instance(MemoryTable& shared_table, int number, std::chrono::milliseconds delay)
      : table(shared_table),
        zone("z" + std::to_string(number % 6)),
        key(MemberKeyOf(zone, DaemonId(std::to_string(100'000 + number)))),
        address("10.0.0." + std::to_string(number)),
        start_delay(delay),
        store(shared_table, 1),
        discovery(
            store, shared_table.executor(), records, Options(zone), [this] { return Position(); },
            [this] { return has_copy; }) {}

  /// The product's read interval. With a shorter one, a stall of this thread, which runs all
  /// instances, makes some finish their reads before others have registered.
  static Discovery::Options Options(const ZoneId& zone) {
    Discovery::Options options;
    options.zone = zone;
    options.gate.copy_wait = 1'200ms;
    options.gate.copy_wait_per_level = 400ms;
    return options;
  }

  RelayPosition Position() const { return records.RelayPositionOf(key, zone, {}); }

  net::awaitable<void> Run() {
    Timer timer(table.executor());
    co_await WaitFor(timer, start_delay);
    table.Put(key, EncodeMember({address, zone, {}}));
    co_await discovery.Survey();
    co_await discovery.Search();
  }

  MemoryTable& table;
  ZoneId zone;
  std::string key;
  std::string address;
  std::chrono::milliseconds start_delay;
  MemoryStore store;
  InstanceRecords records;
  bool has_copy = false;
  Discovery discovery;
};

struct Fixture {
  net::io_context io;
  MemoryTable table{io.get_executor()};
  std::vector<std::unique_ptr<Instance>> instances;

  /// Starts instances that register in a random order within `spread`.
  void Start(int count, int spread_ms) {
    std::minstd_rand random(7);
    for (int i = 0; i < count; ++i) {
      const std::chrono::milliseconds delay(random() % (spread_ms + 1));
      instances.push_back(std::make_unique<Instance>(table, i, delay));
      net::co_spawn(io, instances.back()->Run(), net::detached);
    }
  }

  std::size_t CountWithoutUpstream() const {
    return std::ranges::count_if(
        instances, [](const auto& instance) { return !instance->Position().upstream; });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_discovery, Fixture)

// The load: power returns to all instances at once. Whoever follows nobody lists the whole store.
BOOST_AUTO_TEST_CASE(few_instances_list_the_store_when_all_start) {
  for (const int size : {40, 160, 640}) {
    instances.clear();
    table = MemoryTable(io.get_executor());
    Start(size, 120);
    io.restart();
    io.run_for(4s);
    BOOST_TEST(CountWithoutUpstream() >= 1U);
    BOOST_TEST(CountWithoutUpstream() <= 3U);
    for (const auto& instance : instances) BOOST_TEST(instance->store.listings <= 4);
  }
}

BOOST_AUTO_TEST_CASE(instance_that_joins_reads_the_members_of_its_zone_once) {
  for (int i = 0; i < 20; ++i) {
    const DaemonId name(std::to_string(100'000 + i));
    table.Put(MemberKeyOf(ZoneId("z1"), name),
              EncodeMember({"10.0.0." + std::to_string(i), ZoneId("z1"), {}}));
  }
  instances.push_back(std::make_unique<Instance>(table, 49, 0ms));
  net::co_spawn(io, instances.back()->Run(), net::detached);
  io.run_for(400ms);
  BOOST_TEST(instances.back()->store.listings == 1);
  BOOST_TEST(instances.back()->Position().upstream.has_value());
}

BOOST_AUTO_TEST_CASE(first_instance_of_a_zone_follows_one_of_another_zone) {
  table.Put(MemberKeyOf(ZoneId("z1"), DaemonId("a")), EncodeMember({"10.0.0.1", ZoneId("z1"), {}}));
  instances.push_back(std::make_unique<Instance>(table, 50, 0ms));
  net::co_spawn(io, instances.back()->Run(), net::detached);
  io.run_for(400ms);
  BOOST_TEST(instances.back()->Position().upstream.has_value());
}

// Guards against a page of everything for each instance of a large fleet, and against a search for
// relays in a small one.
BOOST_AUTO_TEST_CASE(only_a_zone_with_many_members_tells_that_the_store_is_large) {
  for (const int members : {0, 32, 33}) {
    for (int i = 0; i < members; ++i) {
      table.Put(MemberKeyOf(ZoneId("z1"), DaemonId(std::to_string(i))),
                EncodeMember({"10.0.0.1", ZoneId("z1"), {}}));
    }
    Instance instance(table, 1, 0ms);
    std::optional<StoreSize> size;
    net::co_spawn(
        io, instance.discovery.Survey(),
        [&](const std::exception_ptr&, const StoreResult<StoreSize>& result) { size = *result; });
    io.restart();
    io.run_for(50ms);
    BOOST_TEST((size == (members > 32 ? StoreSize::kLarge : StoreSize::kUnknown)));
  }
}

// Guards against a fleet whose instances find no relay, and all list the store, because their
// surveys failed while the store was away.
BOOST_AUTO_TEST_CASE(failed_surveys_do_not_shorten_the_search) {
  Instance instance(table, 7, 0ms);
  instance.store.faults.down = true;
  for (int i = 0; i < 6; ++i) net::co_spawn(io, instance.discovery.Survey(), net::detached);
  io.run_for(50ms);
  instance.store.faults.down = false;
  net::co_spawn(io, instance.Run(), net::detached);
  io.restart();
  io.run_for(60ms);
  table.Put(MemberKeyOf(instance.zone, DaemonId("1")),
            EncodeMember({"10.0.0.1", instance.zone, {}}));
  io.restart();
  io.run_for(200ms);
  BOOST_TEST(instance.Position().upstream.has_value());
}

BOOST_AUTO_TEST_CASE(wait_for_a_copy_ends) {
  Start(2, 0);
  io.run_for(400ms);
  Discovery& second = instances[1]->discovery;
  BOOST_TEST(!instances[0]->discovery.AwaitsCopy(Clock::now()));
  BOOST_TEST(second.AwaitsCopy(Clock::now()));
  BOOST_TEST(!second.AwaitsCopy(Clock::now() + 1'600ms));
}

// Neither a member's key nor an upstream is known while the store does not answer.
BOOST_AUTO_TEST_CASE(store_that_is_away_is_not_waited_for_longer) {
  instances.push_back(std::make_unique<Instance>(table, 1, 0ms));
  instances[0]->store.faults.down = true;
  net::co_spawn(io, instances[0]->Run(), net::detached);
  io.run_for(800ms);
  BOOST_TEST(!instances[0]->discovery.AwaitsCopy(Clock::now()));
}

BOOST_AUTO_TEST_SUITE_END()
