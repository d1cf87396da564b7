#include "peers/origin_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const std::string kKeeper = "10.0.0.2";
const ServiceId kService("s");

/// A process that asks the only other gateway about streams.
struct Process {
  explicit Process(net::io_context& context) : io(context) {}

  void Ask(const std::string& attempt) {
    net::co_spawn(io, link.Find(RequestId(attempt), WorkspaceId(), kService),
                  [this](std::exception_ptr, const OriginFinding& result) { finding = result; });
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }

  void Answer(std::uint64_t number, const std::string& release) {
    OriginAnswer answer;
    answer.number = number;
    answer.release = ReleaseId(release);
    link.Handle(OriginMessage(answer), kKeeper);
  }

  net::io_context& io;
  Metrics metrics;
  std::uint64_t number = 0;  ///< of the last query
  std::optional<OriginFinding> finding;
  OriginLink link{io.get_executor(),
                  metrics,
                  {},
                  {[this](const std::string&, const OriginMessage& message) {
                     if (const auto* query = std::get_if<OriginQuery>(&message)) {
                       number = query->number;
                     }
                   },
                   [] { return std::vector<std::string>{kKeeper}; },
                   [](StreamHash) { return std::optional<ReleaseId>(); },
                   [](const ServiceId&) { return Clock::now(); }, [](const ServiceId&) {}}};
};

OriginAnswer OnlyV1() {
  OriginAnswer answer;
  answer.supposed_release = ReleaseId("v1");
  return answer;
}

/// A process of a fleet whose other gateways answer as the test says.
struct FleetMember {
  FleetMember() {
    link.Restore(kService, {{ReleaseId("v1")}, true}, Clock::now());
    link.Observe(kService, {ReleaseId("v1")}, Clock::now());
  }

  /// Asks about a stream that this process does not know. Returns nullopt if there is no finding
  /// within `limit`.
  std::optional<OriginFinding> Find(std::chrono::milliseconds limit = std::chrono::seconds(3)) {
    std::optional<OriginFinding> finding;
    net::co_spawn(io, link.Find(RequestId("r1"), WorkspaceId(), kService),
                  [&](std::exception_ptr, const OriginFinding& result) { finding = result; });
    io.run_for(limit);
    return finding;
  }

  void Send(const std::string& address, const OriginMessage& message) {
    const auto* query = std::get_if<OriginQuery>(&message);
    const auto answer = answers.find(address);
    if (query == nullptr || answer == answers.end()) return;
    answer->second.number = query->number;
    net::post(
        io, [this, address, body = answer->second] { link.Handle(OriginMessage(body), address); });
  }

  net::io_context io;
  Metrics metrics;
  std::vector<std::string> peers{"10.0.0.2", "10.0.0.3", "10.0.0.4"};
  std::map<std::string, OriginAnswer> answers;  ///< by address; the others are silent
  TimePoint confirmed_at = Clock::now();
  int reads = 0;  ///< of the record, as wanted
  OriginLink link{
      io.get_executor(),
      metrics,
      {},
      {[this](const std::string& address, const OriginMessage& message) { Send(address, message); },
       [this] { return peers; }, [](StreamHash) { return std::optional<ReleaseId>(); },
       [this](const ServiceId&) { return confirmed_at; }, [this](const ServiceId&) { ++reads; }}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(origin_link)

// Guards against pieces of two releases in one stream: a gateway that is cut off takes what it last
// knew of the releases for current, although one has joined since.
BOOST_AUTO_TEST_CASE(gateway_that_nobody_answers_does_not_rely_on_its_last_copy) {
  FleetMember member;
  const auto finding = member.Find();
  BOOST_REQUIRE(finding);
  BOOST_TEST(!finding->release);
}

// Guards against the same by two gateways that were cut off together.
BOOST_AUTO_TEST_CASE(answer_of_a_minority_proves_nothing) {
  FleetMember member;
  member.answers["10.0.0.3"] = OnlyV1();
  const auto finding = member.Find();
  BOOST_REQUIRE(finding);
  BOOST_TEST(!finding->release);
}

// Guards against the same by most of the gateways, which stood still while a release joined.
BOOST_AUTO_TEST_CASE(answers_of_some_prove_nothing) {
  FleetMember member;
  member.answers["10.0.0.3"] = OnlyV1();
  member.answers["10.0.0.4"] = OnlyV1();
  const auto finding = member.Find();
  BOOST_REQUIRE(finding);
  BOOST_TEST(!finding->release);
}

// Guards against pieces of two releases in one stream: a keeper that was suspended answers a query
// of the process before a restart, and the answer is taken for one about another stream.
BOOST_AUTO_TEST_CASE(answer_to_an_earlier_process_is_ignored) {
  net::io_context io;
  Process earlier(io);
  earlier.Ask("r1");
  Process later(io);
  later.Ask("r2");
  later.Answer(earlier.number, "v1");
  later.Answer(later.number, "v2");
  io.restart();
  io.run_for(std::chrono::milliseconds(200));
  BOOST_REQUIRE(later.finding);
  BOOST_TEST((later.finding->release == ReleaseId("v2")));
}

// Guards against streams that are refused while the store is away although the fleet can tell.
BOOST_AUTO_TEST_CASE(gateways_that_all_agree_are_relied_on) {
  FleetMember member;
  for (const std::string& peer : member.peers) member.answers[peer] = OnlyV1();
  const auto finding = member.Find(200ms);
  BOOST_REQUIRE(finding);
  BOOST_TEST((finding->release == ReleaseId("v1")));
}

// Guards against streams that are refused at the last gateway of a fleet, which can still read the
// store.
BOOST_AUTO_TEST_CASE(gateway_that_nobody_answers_relies_on_a_later_copy_of_the_store) {
  FleetMember member;
  Timer timer(member.io, 300ms);
  timer.async_wait([&](const ErrorCode&) { member.confirmed_at = Clock::now(); });
  const auto finding = member.Find(600ms);
  BOOST_REQUIRE(finding);
  BOOST_TEST((finding->release == ReleaseId("v1")));
  BOOST_TEST(member.reads == 1);
}

// Guards against a release that joined while the question was under way.
BOOST_AUTO_TEST_CASE(later_copy_of_the_store_that_names_another_release_refutes) {
  FleetMember member;
  Timer timer(member.io, 300ms);
  timer.async_wait([&](const ErrorCode&) {
    member.link.Restore(kService, {{ReleaseId("v1"), ReleaseId("v2")}, true}, Clock::now());
    member.confirmed_at = Clock::now();
  });
  const auto finding = member.Find();
  BOOST_REQUIRE(finding);
  BOOST_TEST(!finding->release);
}

// Guards against a take-up that is refused although its origin is told while it is awaited.
BOOST_AUTO_TEST_CASE(origin_that_is_told_during_the_search_is_found) {
  FleetMember member;
  Timer timer(member.io, 300ms);
  timer.async_wait([&](const ErrorCode&) {
    OriginNotice notice;
    notice.streams.emplace_back(
        AttemptHashOf(RequestId("r1")),
        StreamOrigin{StreamScopeOf(WorkspaceId(), kService), ReleaseId("v2")});
    member.link.Handle(OriginMessage(notice), member.peers.front());
  });
  const auto finding = member.Find(600ms);
  BOOST_REQUIRE(finding);
  BOOST_TEST((finding->release == ReleaseId("v2")));
}

BOOST_AUTO_TEST_SUITE_END()
