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

/// An instance with its own connection to the store.
struct Instance {
  Instance(MemoryTable& table, const std::string& name)
      : store(table, 1), writer(store, table.executor(), guard, records, Options(name)) {
    for (const char* member : {"a", "b"}) {
      records.Put({kMemberPrefix + std::string(member), "127.0.0.1 z", StoreRevision(1), {}});
    }
    net::co_spawn(table.executor(), writer.Run(), net::detached);
  }

  static QuarantineWriter<MemoryStore>::Options Options(const std::string& name) {
    QuarantineWriter<MemoryStore>::Options options;
    options.self = DaemonId(name);
    options.member_key = kMemberPrefix + name;
    options.poll_interval = 5ms;
    options.takeover_delay = 100ms;
    options.delay_per_rank = 200ms;
    return options;
  }

  void FailOn(std::initializer_list<const char*> names) {
    for (const char* name : names) {
      Backend backend;
      backend.entry.id = BackendId(name);
      guard.RecordInterruption(backend, kRequest, Clock::now());
      guard.RecordCrash(backend, "refused", Clock::now());
    }
  }

  Metrics metrics;
  PoisonGuard guard{metrics, PoisonOptions{}};
  InstanceRecords records;
  MemoryStore store;
  QuarantineWriter<MemoryStore> writer;
};

struct Fixture {
  net::io_context io;
  MemoryTable table{io.get_executor()};
  Instance first{table, "a"};
  Instance second{table, "b"};

  bool Stored() { return table.items().contains(kKey); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine_writer, Fixture)

BOOST_AUTO_TEST_CASE(deciding_instance_writes_at_once) {
  first.FailOn({"x", "y", "z"});
  io.run_for(50ms);
  BOOST_REQUIRE(Stored());
  const auto until = DecodeQuarantine(table.items().at(kKey).value);
  BOOST_REQUIRE(until.has_value());
  const auto left = *until - std::chrono::system_clock::now();
  BOOST_TEST((left > PoisonOptions{}.quarantine - 5s));
  BOOST_TEST((left <= PoisonOptions{}.quarantine));
  BOOST_TEST(table.items().at(kKey).lease != StoreLeaseId(0));
}

BOOST_AUTO_TEST_CASE(another_instance_writes_for_a_dead_one) {
  first.store.faults.down = true;
  first.FailOn({"x", "y", "z"});
  second.guard.ApplyUpdate(first.guard.TakeUpdate(), Clock::now());
  io.run_for(200ms);
  BOOST_TEST(!Stored());
  io.run_for(300ms);
  BOOST_TEST(Stored());
}

BOOST_AUTO_TEST_CASE(quarantine_is_written_once_the_store_is_back) {
  first.store.faults.down = true;
  first.FailOn({"x", "y", "z"});
  io.run_for(50ms);
  BOOST_TEST(!Stored());
  first.store.faults.down = false;
  io.run_for(50ms);
  BOOST_TEST(Stored());
}

BOOST_AUTO_TEST_CASE(released_request_is_erased) {
  first.FailOn({"x", "y", "z"});
  io.run_for(50ms);
  BOOST_REQUIRE(Stored());
  second.guard.ApplyStored(kRequest, 1min, Clock::now());
  second.guard.Release(kRequest, Clock::now());
  first.guard.ApplyUpdate(second.guard.TakeUpdate(), Clock::now());
  io.run_for(50ms);
  BOOST_TEST(!Stored());
}

// Guards against instances that each try a quarantined prompt part once its quarantine has ended.
BOOST_AUTO_TEST_CASE(one_instance_gets_the_trial_of_a_prompt_part) {
  const PartFeature part = FeatureOf(kRequest, 1);
  const RequestFeatures request{RequestFingerprint(1), 1, {part}};
  for (Instance* instance : {&first, &second}) {
    instance->guard.ApplyStored(kRequest, 1ms, Clock::now());
  }
  io.run_for(10ms);
  BOOST_TEST(!first.guard.TakeTrial(request, Clock::now()));
  BOOST_TEST(!second.guard.TakeTrial(request, Clock::now()));
  io.run_for(50ms);
  BOOST_TEST(Stored());
  const bool at_first = first.guard.TakeTrial(request, Clock::now());
  const bool at_second = second.guard.TakeTrial(request, Clock::now());
  BOOST_TEST(at_first != at_second);
  BOOST_TEST(!first.guard.TakeTrial(request, Clock::now()));
  BOOST_TEST(!second.guard.TakeTrial(request, Clock::now()));
}

BOOST_AUTO_TEST_CASE(no_instance_gets_a_trial_while_the_store_is_away) {
  const RequestFeatures request{RequestFingerprint(1), 1, {FeatureOf(kRequest, 1)}};
  first.store.faults.down = true;
  first.guard.ApplyStored(kRequest, 1ms, Clock::now());
  io.run_for(10ms);
  BOOST_TEST(!first.guard.TakeTrial(request, Clock::now()));
  io.run_for(50ms);
  BOOST_TEST(!first.guard.TakeTrial(request, Clock::now()));
}

BOOST_AUTO_TEST_CASE(quarantine_read_from_the_store_is_not_written_again) {
  first.guard.ApplyStored(kRequest, 1min, Clock::now());
  io.run_for(400ms);
  BOOST_TEST(!Stored());
}

BOOST_AUTO_TEST_CASE(malformed_keys_and_values_are_rejected) {
  BOOST_TEST(!ParseQuarantineKey("ridgehold/members/a").has_value());
  BOOST_TEST(!ParseQuarantineKey("ridgehold/quarantine/").has_value());
  BOOST_TEST(!ParseQuarantineKey("ridgehold/quarantine/xyz").has_value());
  BOOST_REQUIRE(ParseQuarantineKey(kKey).has_value());
  BOOST_TEST(*ParseQuarantineKey(kKey) == kRequest);
  BOOST_TEST(!DecodeQuarantine("").has_value());
  BOOST_TEST(!DecodeQuarantine("a b").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
