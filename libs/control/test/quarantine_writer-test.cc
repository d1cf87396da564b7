#include "control/quarantine_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "memory_store.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

const RequestFingerprint kRequest(0xabc);
const std::string kKey = "ridgehold/quarantine/0000000000000abc";

/// One gateway with its way to the store.
struct Gateway {
  Gateway(MemoryTable& table, const std::string& name)
      : store(table, 1), keeper(store, table.executor(), guard, records, Options(name)) {
    for (const char* member : {"a", "b"}) {
      records.Put({kMemberPrefix + std::string(member), "127.0.0.1 z", StoreRevision(1), {}});
    }
    net::co_spawn(table.executor(), keeper.Run(), net::detached);
  }

  static QuarantineWriter<MemoryStore>::Options Options(const std::string& name) {
    QuarantineWriter<MemoryStore>::Options options;
    options.self = DaemonId(name);
    options.poll_interval = 5ms;
    options.takeover_delay = 100ms;
    options.delay_per_rank = 200ms;
    return options;
  }

  void End(std::initializer_list<const char*> names) {
    for (const char* name : names) {
      Backend backend;
      backend.entry.id = BackendId(name);
      guard.NoteBroken(backend, kRequest, Clock::now());
      guard.NoteEnded(backend, "refused", Clock::now());
    }
  }

  Metrics metrics;
  PoisonGuard guard{metrics, PoisonRule{}};
  InstanceRecords records;
  MemoryStore store;
  QuarantineWriter<MemoryStore> keeper;
};

struct Fixture {
  net::io_context io;
  MemoryTable table{io.get_executor()};
  Gateway first{table, "a"};
  Gateway second{table, "b"};

  bool Stored() { return table.items().contains(kKey); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine_records, Fixture)

BOOST_AUTO_TEST_CASE(gateway_that_decides_writes_at_once) {
  first.End({"x", "y", "z"});
  io.run_for(50ms);
  BOOST_REQUIRE(Stored());
  const auto until = DecodeQuarantine(table.items().at(kKey).value);
  BOOST_REQUIRE(until.has_value());
  const auto left = *until - std::chrono::system_clock::now();
  BOOST_TEST((left > PoisonRule{}.quarantine - 5s));
  BOOST_TEST((left <= PoisonRule{}.quarantine));
  BOOST_TEST(table.items().at(kKey).lease != StoreLeaseId(0));
}

BOOST_AUTO_TEST_CASE(another_writes_for_one_that_is_gone) {
  first.store.faults.down = true;
  first.End({"x", "y", "z"});
  second.guard.Take(first.guard.TakeNews(), Clock::now());
  io.run_for(200ms);
  BOOST_TEST(!Stored());
  io.run_for(300ms);
  BOOST_TEST(Stored());
}

BOOST_AUTO_TEST_CASE(store_that_was_away_is_told_later) {
  first.store.faults.down = true;
  first.End({"x", "y", "z"});
  io.run_for(50ms);
  BOOST_TEST(!Stored());
  first.store.faults.down = false;
  io.run_for(50ms);
  BOOST_TEST(Stored());
}

BOOST_AUTO_TEST_CASE(released_request_is_erased) {
  first.End({"x", "y", "z"});
  io.run_for(50ms);
  BOOST_REQUIRE(Stored());
  second.guard.TakeStored(kRequest, 1min, Clock::now());
  second.guard.Release(kRequest, Clock::now());
  first.guard.Take(second.guard.TakeNews(), Clock::now());
  io.run_for(50ms);
  BOOST_TEST(!Stored());
}

BOOST_AUTO_TEST_CASE(what_was_read_from_the_store_is_not_written_again) {
  first.guard.TakeStored(kRequest, 1min, Clock::now());
  io.run_for(400ms);
  BOOST_TEST(!Stored());
}

BOOST_AUTO_TEST_CASE(keys_and_values_that_are_none_are_told) {
  BOOST_TEST(!ParseQuarantineKey("ridgehold/members/a").has_value());
  BOOST_TEST(!ParseQuarantineKey("ridgehold/quarantine/").has_value());
  BOOST_TEST(!ParseQuarantineKey("ridgehold/quarantine/xyz").has_value());
  BOOST_REQUIRE(ParseQuarantineKey(kKey).has_value());
  BOOST_TEST(*ParseQuarantineKey(kKey) == kRequest);
  BOOST_TEST(!DecodeQuarantine("").has_value());
  BOOST_TEST(!DecodeQuarantine("a b").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
