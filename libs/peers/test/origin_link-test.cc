#include "peers/origin_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace ridgehold;

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
                   [](StreamHash) { return std::optional<ReleaseId>(); }, [] { return true; }}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(origin_link)

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

BOOST_AUTO_TEST_SUITE_END()
