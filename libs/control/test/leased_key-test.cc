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

  /// As good as killed (nothing of it reaches the store), and started again.
  Holder& Restart(Holder& former, LeasedKey<MemoryStore>::Options options) {
    former.store.faults.down = true;
    return AddWith(std::move(options));
  }

  bool MarkedActing() { return table.items().at(kKey).value.ends_with(" acting"); }

  std::size_t CountHeld() const {
    const TimePoint now = Clock::now();
    return static_cast<std::size_t>(std::ranges::count_if(
        holders, [&](const auto& holder) { return holder->key.IsHeld(now); }));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(held_key, Fixture)

BOOST_AUTO_TEST_CASE(one_of_several_gets_the_key_and_keeps_it) {
  Add(3);
  io.run_for(100ms);
  BOOST_TEST(CountHeld() == 1);
  const auto fencing = table.items().at(kKey).revision;
  io.run_for(500ms);
  BOOST_TEST(CountHeld() == 1);
  BOOST_TEST((table.items().at(kKey).revision == fencing));
}

BOOST_AUTO_TEST_CASE(cut_off_holder_stops_before_another_begins) {
  Add(2);
  io.run_for(100ms);
  const std::size_t first = holders[0]->key.IsHeld(Clock::now()) ? 0 : 1;
  holders[first]->store.faults.down = true;
  bool gap_seen = false;
  for (int i = 0; i < 100; ++i) {
    io.run_for(5ms);
    BOOST_TEST(CountHeld() <= 1);
    gap_seen = gap_seen || CountHeld() == 0;
  }
  BOOST_TEST(gap_seen);
  BOOST_TEST(holders[1 - first]->key.IsHeld(Clock::now()));
  BOOST_TEST(holders[1 - first]->key.fencing_token() > holders[first]->key.fencing_token());
}

BOOST_AUTO_TEST_CASE(paused_holder_does_not_act_on_a_lapsed_lease) {
  Add(1);
  io.run_for(100ms);
  BOOST_TEST(holders[0]->key.IsHeld(Clock::now()));
  // The process stands still, as a frozen instance does.
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
  BOOST_TEST(CountHeld() == 0);
  holders[0]->store.faults.lost_answers = 0;
  io.run_for(400ms);
  BOOST_TEST(CountHeld() == 1);
}

BOOST_AUTO_TEST_CASE(never_two_at_once_while_answers_get_lost_and_writes_come_late) {
  Add(4);
  std::mt19937 random(20261202);
  std::uint64_t last_fencing = 0;
  std::size_t holdings = 0;
  for (int i = 0; i < 400; ++i) {
    for (const auto& holder : holders) {
      StoreFaults& faults = holder->store.faults;
      faults.lost_answers = 0.3;
      faults.late_writes = 0.2;
      if (random() % 40 == 0) faults.down = !faults.down;
    }
    io.run_for(5ms);
    BOOST_REQUIRE(CountHeld() <= 1);
    for (const auto& holder : holders) {
      if (!holder->key.IsHeld(Clock::now())) continue;
      BOOST_REQUIRE(holder->key.fencing_token() >= last_fencing);
      if (holder->key.fencing_token() > last_fencing) ++holdings;
      last_fencing = holder->key.fencing_token();
    }
  }
  BOOST_TEST(holdings > 0);
}

// Found when an instance that had the rollout duty was killed: it was back half a
// second later, but waited for its own former lease to end.
BOOST_AUTO_TEST_CASE(restarted_holder_has_its_own_key_again_at_once) {
  Add(1);
  io.run_for(50ms);
  BOOST_REQUIRE(CountHeld() == 1);
  const std::uint64_t former = holders[0]->key.fencing_token();
  holders[0]->store.faults.down = true;  // as good as killed: nothing of it reaches the store
  Holder restarted(table, io.get_executor(), 0);
  net::co_spawn(io, restarted.key.Run(), net::detached);
  io.run_for(60ms);
  BOOST_TEST(restarted.key.IsHeld(Clock::now()));
  BOOST_TEST(restarted.key.fencing_token() > former);
  BOOST_TEST(!holders[0]->key.IsHeld(Clock::now() + 200ms));
}

BOOST_AUTO_TEST_CASE(key_of_another_holder_is_not_taken_over) {
  Add(1);
  io.run_for(50ms);
  Holder other(table, io.get_executor(), 1);
  net::co_spawn(io, other.key.Run(), net::detached);
  io.run_for(60ms);
  BOOST_TEST(CountHeld() == 1);
  BOOST_TEST(!other.key.IsHeld(Clock::now()));
}

// Protects the former holder's time: its last order may be younger than the separation.
BOOST_AUTO_TEST_CASE(key_taken_back_from_a_process_that_had_not_acted_waits_the_separation) {
  auto options = Holder::Options(0);
  options.handover_delay = 400ms;
  Holder& former = AddWith(options);
  io.run_for(100ms);
  BOOST_REQUIRE(former.key.IsHeld(Clock::now()));
  BOOST_REQUIRE(!former.key.MayAct(Clock::now()));
  const TimePoint begun = Clock::now();
  Holder& restarted = Restart(former, options);
  io.run_for(100ms);
  BOOST_REQUIRE(restarted.key.IsHeld(Clock::now()));
  BOOST_TEST((restarted.key.active_from() >= begun + 400ms));
  BOOST_TEST(!restarted.key.MayAct(Clock::now()));
  io.run_for(400ms);
  BOOST_TEST(restarted.key.MayAct(Clock::now()));
}

// Protects the meaning of the mark: under it the separation from the holder before is over.
BOOST_AUTO_TEST_CASE(key_is_marked_as_acting_only_once_its_holder_may_act) {
  auto options = Holder::Options(0);
  options.handover_delay = 300ms;
  Holder& holder = AddWith(options);
  io.run_for(50ms);
  BOOST_REQUIRE(holder.key.IsHeld(Clock::now()));
  for (int i = 0; i < 40; ++i) {
    BOOST_TEST((!MarkedActing() || holder.key.MayAct(Clock::now())));
    io.run_for(10ms);
  }
  BOOST_TEST(MarkedActing());
}

// Protects the rollout's ten seconds: a holder that had acted goes on after its restart.
BOOST_AUTO_TEST_CASE(key_taken_back_from_a_process_that_had_acted_acts_at_once) {
  auto options = Holder::Options(0);
  options.handover_delay = 400ms;
  Holder& former = AddWith(options);
  io.run_for(550ms);
  BOOST_REQUIRE(former.key.MayAct(Clock::now()));
  BOOST_REQUIRE(MarkedActing());
  Holder& restarted = Restart(former, options);
  io.run_for(100ms);
  BOOST_TEST(restarted.key.MayAct(Clock::now()));
  BOOST_TEST(restarted.key.fencing_token() > former.key.fencing_token());
}

// Protects the duty from short outages: the lease lives on, so the key stays held.
BOOST_AUTO_TEST_CASE(renewals_without_an_answer_do_not_give_up_a_key_whose_lease_lives_on) {
  auto options = Holder::Options(0);
  options.ttl = 1s;  // renewed each 250 ms
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
  io.run_for(600ms);  // past the end of the lease as it was before the outage
  BOOST_TEST(holder.key.IsHeld(Clock::now()));
  BOOST_TEST(holder.key.fencing_token() == fencing);
  BOOST_TEST((holder.key.active_from() == active_from));
}

BOOST_AUTO_TEST_SUITE_END()
