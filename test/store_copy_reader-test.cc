#include "peers/store_copy_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "entry/admin_server.h"
#include "own_address.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const std::string kRelay = test::OwnAddress(31);

/// Keeps what it was given last.
struct Taker {
  StoreRevision known;
  TimePoint settled{};

  StoreRevision revision() const { return known; }
  void ApplyCopy(const std::vector<StoreItem>& /*items*/, StoreRevision revision,
                 TimePoint /*confirmed*/, TimePoint until) {
    known = revision;
    settled = until;
  }
  void ApplyChanges(const std::vector<StoreEvent>& /*changes*/, StoreRevision revision,
                    TimePoint /*confirmed*/, TimePoint until) {
    known = revision;
    settled = until;
  }
};

/// A reader, and the relay that it asks.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), GatewayLimits{}, PlacementCosts{}, metrics};
  Taker taker;
  StoreCopy told;
  http::status status = http::status::ok;
  std::unique_ptr<AdminServer> relay;
  std::set<std::string> asked_without;
  std::vector<std::chrono::milliseconds> holds;  ///< allowed by the requests to the relay
  std::unique_ptr<StoreCopyReader<Taker>> reader;

  Fixture() {
    const std::string address = kRelay;
    StoreCopyReader<Taker>::Options options;
    options.port = 23'452;
    AdminServer::Pages pages;
    pages[kStoreCopyPath] = [this](const std::string& query) {
      holds.push_back(StoreCopyRequest::FromQuery(query).wait);
      return AdminPage{status, "application/x-protobuf", EncodeStoreCopy(told)};
    };
    const std::string listen = address + ":" + std::to_string(options.port);
    relay = std::move(*AdminServer::Create(io.get_executor(), listen, std::move(pages)));
    relay->Start();
    told.revision = StoreRevision(7);
    told.age = 10ms;
    reader = std::make_unique<StoreCopyReader<Taker>>(
        state, taker, options, [] { return std::vector<std::string>(); },
        [this, address](const std::set<std::string>& passed_over) {
          asked_without = passed_over;
          return passed_over.contains(address) ? std::nullopt : std::optional(address);
        });
    net::co_spawn(io, reader->Run(), net::detached);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(store_copy_reader, Fixture)

BOOST_AUTO_TEST_CASE(time_that_registrations_have_after_an_outage_is_passed_on) {
  told.grace = 2s;
  io.run_for(100ms);
  BOOST_TEST((taker.known == StoreRevision(7)));
  BOOST_TEST((taker.settled > Clock::now() + 1'500ms));
  BOOST_TEST((taker.settled <= Clock::now() + 2s));
}

BOOST_AUTO_TEST_CASE(relay_that_lost_the_store_is_not_relied_on_at_once) {
  io.run_for(100ms);
  BOOST_TEST(reader->RelayIsCurrent(Clock::now()));
  told.store_unreachable = true;
  io.run_for(450ms);
  BOOST_TEST(!reader->RelayIsCurrent(Clock::now()));
  // The next in line is tried meanwhile; there is none here, so it is asked again.
  BOOST_TEST(asked_without.size() == 1U);
  told.store_unreachable = false;
  io.run_for(1'300ms);
  BOOST_TEST(reader->RelayIsCurrent(Clock::now()));
}

BOOST_AUTO_TEST_CASE(silent_relay_is_passed_over) {
  io.run_for(100ms);
  BOOST_REQUIRE(reader->RelayIsCurrent(Clock::now()));
  status = http::status::service_unavailable;
  io.run_for(1'200ms);
  BOOST_TEST(!reader->RelayIsCurrent(Clock::now()));
  BOOST_TEST(asked_without.contains(kRelay));
}

// While a relay holds its first request, the instance would watch the store by itself, as would
// each of a fleet that starts together.
BOOST_AUTO_TEST_CASE(relay_is_not_waited_for_before_it_is_known_to_be_current) {
  io.run_for(300ms);
  BOOST_REQUIRE(holds.size() >= 2U);
  BOOST_TEST((holds[0] == 0ms));
  BOOST_TEST((holds[1] > 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
