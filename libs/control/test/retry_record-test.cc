#include "control/retry_record.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "memory_store.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

constexpr char kKey[] = "retries/a";
constexpr auto kSpan = 200ms;

struct Process {
  Process(MemoryTable& table, const std::string& value)
      : store(table, 1), record(store, table.executor(), {kKey, value, [] { return kSpan; }}) {}

  MemoryStore store;
  RetryRecord<MemoryStore> record;
};

struct Fixture {
  net::io_context io;
  MemoryTable table{io.get_executor()};

  bool Acquire(Process& process) {
    bool acquired = false;
    net::co_spawn(
        io,
        [&]() -> net::awaitable<void> {
          acquired = co_await process.record.Acquire(Clock::now() + 100ms);
        },
        net::detached);
    io.restart();
    io.run_for(50ms);
    return acquired;
  }

  void RunFor(std::chrono::milliseconds length) {
    Timer timer(io.get_executor(), length);
    timer.async_wait([&](ErrorCode /*error*/) { io.stop(); });
    io.restart();
    io.run();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(retry_record, Fixture)

BOOST_AUTO_TEST_CASE(covers_retries_once_it_is_in_the_store) {
  Process process(table, "1");
  BOOST_TEST(!process.record.Covers(Clock::now()));
  BOOST_TEST(Acquire(process));
  BOOST_TEST(process.record.Covers(Clock::now()));
  BOOST_TEST(table.items().at(kKey).value == "1");
}

BOOST_AUTO_TEST_CASE(is_not_written_before_it_is_needed) {
  Process process(table, "1");
  RunFor(50ms);
  BOOST_TEST(table.items().empty());
}

// Guards against a process that overwrites the record of its predecessor and spends its budget
// again.
BOOST_AUTO_TEST_CASE(does_not_replace_the_record_of_a_predecessor_within_its_window) {
  Process predecessor(table, "1");
  BOOST_REQUIRE(Acquire(predecessor));
  predecessor.record.Stop();
  Process successor(table, "2");
  BOOST_TEST(!Acquire(successor));
  BOOST_TEST(table.items().at(kKey).value == "1");
}

BOOST_AUTO_TEST_CASE(replaces_an_old_record_after_one_window) {
  Process predecessor(table, "1");
  BOOST_REQUIRE(Acquire(predecessor));
  predecessor.record.Stop();
  Process successor(table, "2");
  RunFor(kSpan);
  BOOST_TEST(Acquire(successor));
  BOOST_TEST(table.items().at(kKey).value == "2");
}

BOOST_AUTO_TEST_CASE(covers_nothing_while_the_store_is_down) {
  Process process(table, "1");
  process.store.faults.down = true;
  BOOST_TEST(!Acquire(process));
}

// Guards against a write that the store applied without an answer: it would bar this process.
BOOST_AUTO_TEST_CASE(is_acquired_after_a_lost_answer) {
  Process process(table, "1");
  process.store.faults.lost_answers = 1;
  BOOST_TEST(!Acquire(process));
  process.store.faults.lost_answers = 0;
  table.ExpireLeases();
  RunFor(600ms);
  BOOST_TEST(Acquire(process));
}

BOOST_AUTO_TEST_CASE(lapses_when_retries_end) {
  Process process(table, "1");
  BOOST_REQUIRE(Acquire(process));
  RunFor(4 * kSpan);
  BOOST_TEST(!process.record.Covers(Clock::now()));
  BOOST_TEST(table.items().empty());
}

BOOST_AUTO_TEST_SUITE_END()
