#include "control/leased_key.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "memory_store.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

constexpr char kKey[] = "duty";

struct Holder {
  Holder(MemoryTable& table, net::any_io_executor executor, LeasedKey<MemoryStore>::Options options,
         std::uint32_t seed)
      : store(table, seed), key(store, executor, std::move(options), [&table] {
          return !table.items().contains(kKey);
        }) {}

  Holder(MemoryTable& table, net::any_io_executor executor, std::uint32_t seed)
      : Holder(table, executor, Options(seed), seed) {}

  static LeasedKey<MemoryStore>::Options Options(std::uint32_t seed) {
    LeasedKey<MemoryStore>::Options options;
    options.key = kKey;
    options.value = "holder " + std::to_string(seed);
    options.ttl = 200ms;
    options.poll_interval = 10ms;
    return options;
  }

  MemoryStore store;
  LeasedKey<MemoryStore> key;
};

struct Fixture {
  net::io_context io;
  MemoryTable table{io.get_executor()};
  std::vector<std::unique_ptr<Holder>> holders;

  void Add(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      holders.push_back(std::make_unique<Holder>(table, io.get_executor(), i));
      net::co_spawn(io, holders.back()->key.Run(), net::detached);
    }
  }

  Holder& AddWith(LeasedKey<MemoryStore>::Options options) {
    holders.push_back(std::make_unique<Holder>(table, io.get_executor(), std::move(options), 0));
    net::co_spawn(io, holders.back()->key.Run(), net::detached);
    return *holders.back();
  }

  /// Simulates a kill and a restart: no further call of `previous` reaches the store.
  Holder& Restart(Holder& previous, LeasedKey<MemoryStore>::Options options) {
    previous.store.faults.down = true;
    return AddWith(std::move(options));
  }

  bool IsMarkedActive() { return table.items().at(kKey).value.ends_with(" acting"); }

  std::size_t CountHolders() const {
    const TimePoint now = Clock::now();
    return static_cast<std::size_t>(std::ranges::count_if(
        holders, [&](const auto& holder) { return holder->key.IsHeld(now); }));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(leased_key, Fixture)

BOOST_AUTO_TEST_CASE(one_of_several_acquires_the_key_and_keeps_it) {
  Add(3);
  io.run_for(100ms);
  BOOST_TEST(CountHolders() == 1);
  const auto fencing = table.items().at(kKey).revision;
  io.run_for(500ms);
  BOOST_TEST(CountHolders() == 1);
  BOOST_TEST((table.items().at(kKey).revision == fencing));
}

BOOST_AUTO_TEST_CASE(partitioned_holder_stops_before_another_starts) {
  Add(2);
  io.run_for(100ms);
  const std::size_t first = holders[0]->key.IsHeld(Clock::now()) ? 0 : 1;
  holders[first]->store.faults.down = true;
  bool gap_seen = false;
  for (int i = 0; i < 100; ++i) {
    io.run_for(5ms);
    BOOST_TEST(CountHolders() <= 1);
    gap_seen = gap_seen || CountHolders() == 0;
  }
  BOOST_TEST(gap_seen);
  BOOST_TEST(holders[1 - first]->key.IsHeld(Clock::now()));
  BOOST_TEST(holders[1 - first]->key.fencing_token() > holders[first]->key.fencing_token());
}

BOOST_AUTO_TEST_CASE(suspended_holder_does_not_act_on_an_expired_lease) {
  Add(1);
  io.run_for(100ms);
  BOOST_TEST(holders[0]->key.IsHeld(Clock::now()));
  // The whole process is suspended.
  std::this_thread::sleep_for(250ms);
  BOOST_TEST(!holders[0]->key.IsHeld(Clock::now()));
}

BOOST_AUTO_TEST_CASE(released_key_is_free_at_once) {
  Add(1);
  io.run_for(100ms);
  net::co_spawn(io, holders[0]->key.Release(), net::detached);
  io.run_for(20ms);
  BOOST_TEST(!table.items().contains(kKey));
  BOOST_TEST(!holders[0]->key.IsHeld(Clock::now()));
}

BOOST_AUTO_TEST_CASE(write_whose_answer_was_lost_leaves_no_key_behind) {
  Add(1);
  holders[0]->store.faults.lost_answers = 1;
  io.run_for(100ms);
  BOOST_TEST(CountHolders() == 0);
  holders[0]->store.faults.lost_answers = 0;
  io.run_for(400ms);
  BOOST_TEST(CountHolders() == 1);
}

BOOST_AUTO_TEST_CASE(at_most_one_holder_with_lost_answers_and_late_writes) {
  Add(4);
  std::mt19937 random(20261202);
  std::uint64_t last_fencing = 0;
  std::size_t acquisitions = 0;
  for (int i = 0; i < 400; ++i) {
    for (const auto& holder : holders) {
      StoreFaults& faults = holder->store.faults;
      faults.lost_answers = 0.3;
      faults.late_writes = 0.2;
      if (random() % 40 == 0) faults.down = !faults.down;
    }
    io.run_for(5ms);
    BOOST_REQUIRE(CountHolders() <= 1);
    for (const auto& holder : holders) {
      if (!holder->key.IsHeld(Clock::now())) continue;
      BOOST_REQUIRE(holder->key.fencing_token() >= last_fencing);
      if (holder->key.fencing_token() > last_fencing) ++acquisitions;
      last_fencing = holder->key.fencing_token();
    }
  }
  BOOST_TEST(acquisitions > 0);
}

// A restarted instance must reacquire its own key without waiting for its previous lease. Otherwise
// an instance that held the rollout lock, was killed and was back within half a second waits for
// its own lease to expire.
BOOST_AUTO_TEST_CASE(restarted_holder_reacquires_its_key_at_once) {
  Add(1);
  io.run_for(50ms);
  BOOST_REQUIRE(CountHolders() == 1);
  const std::uint64_t previous = holders[0]->key.fencing_token();
  holders[0]->store.faults.down = true;  // simulates a kill: no call reaches the store
  Holder restarted(table, io.get_executor(), 0);
  net::co_spawn(io, restarted.key.Run(), net::detached);
  io.run_for(60ms);
  BOOST_TEST(restarted.key.IsHeld(Clock::now()));
  BOOST_TEST(restarted.key.fencing_token() > previous);
  BOOST_TEST(!holders[0]->key.IsHeld(Clock::now() + 200ms));
}

BOOST_AUTO_TEST_CASE(key_of_another_holder_is_not_taken_over) {
  Add(1);
  io.run_for(50ms);
  Holder other(table, io.get_executor(), 1);
  net::co_spawn(io, other.key.Run(), net::detached);
  io.run_for(60ms);
  BOOST_TEST(CountHolders() == 1);
  BOOST_TEST(!other.key.IsHeld(Clock::now()));
}

// The last action of the previous holder may be more recent than the handover delay.
BOOST_AUTO_TEST_CASE(handover_delay_applies_after_a_predecessor_that_was_not_active) {
  auto options = Holder::Options(0);
  options.handover_delay = 400ms;
  Holder& previous = AddWith(options);
  io.run_for(100ms);
  BOOST_REQUIRE(previous.key.IsHeld(Clock::now()));
  BOOST_REQUIRE(!previous.key.MayAct(Clock::now()));
  const TimePoint begun = Clock::now();
  Holder& restarted = Restart(previous, options);
  io.run_for(100ms);
  BOOST_REQUIRE(restarted.key.IsHeld(Clock::now()));
  BOOST_TEST((restarted.key.active_from() >= begun + 400ms));
  BOOST_TEST(!restarted.key.MayAct(Clock::now()));
  io.run_for(400ms);
  BOOST_TEST(restarted.key.MayAct(Clock::now()));
}

// The mark means that the handover delay after the previous holder has passed.
BOOST_AUTO_TEST_CASE(key_is_marked_active_only_once_its_holder_may_act) {
  auto options = Holder::Options(0);
  options.handover_delay = 300ms;
  Holder& holder = AddWith(options);
  io.run_for(50ms);
  BOOST_REQUIRE(holder.key.IsHeld(Clock::now()));
  for (int i = 0; i < 40; ++i) {
    BOOST_TEST((!IsMarkedActive() || holder.key.MayAct(Clock::now())));
    io.run_for(10ms);
  }
  BOOST_TEST(IsMarkedActive());
}

// A rollout has to finish within ten seconds, so a holder that was active continues at once after
// its restart.
BOOST_AUTO_TEST_CASE(handover_delay_is_skipped_after_a_predecessor_that_was_active) {
  auto options = Holder::Options(0);
  options.handover_delay = 400ms;
  Holder& previous = AddWith(options);
  io.run_for(550ms);
  BOOST_REQUIRE(previous.key.MayAct(Clock::now()));
  BOOST_REQUIRE(IsMarkedActive());
  Holder& restarted = Restart(previous, options);
  io.run_for(100ms);
  BOOST_TEST(restarted.key.MayAct(Clock::now()));
  BOOST_TEST(restarted.key.fencing_token() > previous.key.fencing_token());
}

// The lease outlives a short outage of the store, so the key must stay held.
BOOST_AUTO_TEST_CASE(unanswered_renewals_keep_a_key_whose_lease_is_alive) {
  auto options = Holder::Options(0);
  options.ttl = 1s;  // renewed every 250 ms
  Holder& holder = AddWith(options);
  io.run_for(50ms);
  BOOST_REQUIRE(holder.key.IsHeld(Clock::now()));
  const std::uint64_t fencing = holder.key.fencing_token();
  const TimePoint active_from = holder.key.active_from();
  holder.store.faults.down = true;
  io.run_for(350ms);
  BOOST_TEST(holder.key.IsHeld(Clock::now()));
  holder.store.faults.down = false;
  io.run_for(300ms);
  BOOST_TEST(holder.key.IsHeld(Clock::now()));
  io.run_for(600ms);  // past the expiry of the lease as it was before the outage
  BOOST_TEST(holder.key.IsHeld(Clock::now()));
  BOOST_TEST(holder.key.fencing_token() == fencing);
  BOOST_TEST((holder.key.active_from() == active_from));
}

BOOST_AUTO_TEST_SUITE_END()
