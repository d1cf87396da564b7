#include "tunnel/contact_monitor.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const BackendId kFirst("a");
const BackendId kSecond("b");
const BackendId kThird("c");
constexpr std::size_t kKnown = 2;

struct Fixture {
  ContactMonitor monitor{ContactMonitor::Options()};
  TimePoint start{100s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(contact_monitor, Fixture)

BOOST_AUTO_TEST_CASE(one_lost_server_is_a_failed_server) {
  monitor.RecordContact(start);
  for (int i = 0; i < 20; ++i) monitor.RecordLoss(kFirst, kKnown, start + i * 250ms);
  BOOST_TEST(!monitor.IsIsolated(start + 5s));
}

BOOST_AUTO_TEST_CASE(several_lost_servers_without_contact_are_an_isolation) {
  monitor.RecordContact(start);
  BOOST_TEST(!monitor.RecordLoss(kFirst, kKnown, start + 900ms));
  BOOST_TEST(monitor.RecordLoss(kSecond, kKnown, start + 1'100ms));
  BOOST_TEST(monitor.IsIsolated(start + 1'100ms));
  BOOST_TEST(!monitor.RecordLoss(kSecond, kKnown, start + 1'350ms));
}

BOOST_AUTO_TEST_CASE(contact_ends_an_isolation_at_once) {
  monitor.RecordLoss(kFirst, kKnown, start);
  monitor.RecordLoss(kSecond, kKnown, start);
  BOOST_TEST(monitor.IsIsolated(start));
  BOOST_TEST(monitor.RecordContact(start + 1ms));
  BOOST_TEST(!monitor.IsIsolated(start + 1ms));
  BOOST_TEST(!monitor.RecordContact(start + 2ms));
}

// Guards against an instance that counts as isolated while some of the servers respond.
BOOST_AUTO_TEST_CASE(instance_that_reaches_some_servers_is_not_isolated) {
  for (int i = 0; i < 40; ++i) {
    const TimePoint now = start + i * 250ms;
    monitor.RecordLoss(kFirst, kKnown, now);
    monitor.RecordLoss(kSecond, kKnown, now);
    if (i % 3 == 0) monitor.RecordContact(now + 1ms);
    if (i > 0) BOOST_TEST(!monitor.IsIsolated(now + 2ms));
  }
}

// Guards against taking servers that are silent for a second for a partition.
BOOST_AUTO_TEST_CASE(silence_of_less_than_a_second_is_no_isolation) {
  monitor.RecordContact(start);
  monitor.RecordLoss(kFirst, kKnown, start + 300ms);
  monitor.RecordLoss(kSecond, kKnown, start + 990ms);
  BOOST_TEST(!monitor.IsIsolated(start + 990ms));
  BOOST_TEST(!monitor.RecordContact(start + 995ms));
}

// Guards against taking two crashes in a fleet without other traffic for a partition.
BOOST_AUTO_TEST_CASE(two_lost_servers_of_many_are_verified_first) {
  constexpr std::size_t kMany = 9;
  monitor.RecordLoss(kFirst, kMany, start);
  monitor.RecordLoss(kSecond, kMany, start);
  BOOST_TEST(!monitor.IsIsolated(start));
  BOOST_TEST(monitor.ShouldVerify(start));
  BOOST_TEST(monitor.RecordLoss(kThird, kMany, start + 250ms));
}

BOOST_AUTO_TEST_CASE(losses_that_are_not_confirmed_are_forgotten) {
  monitor.RecordLoss(kFirst, kKnown, start);
  monitor.RecordLoss(kSecond, kKnown, start);
  BOOST_TEST(!monitor.IsIsolated(start + 3s));
}

BOOST_AUTO_TEST_SUITE_END()
