#include <boost/test/unit_test.hpp>
#include <set>

#include "gateway/request_fingerprint.h"

using namespace ridgehold;

namespace {

/// A request as sent by a caller.
struct Sample {
  WorkspaceId workspace{"w"};
  InboundRequest inbound;
  RequestMessage message;

  Sample() {
    inbound.id = RequestId("r1");
    inbound.host = "h";
    message.method(http::verb::post);
    message.target("/gen/x?q=1");
    message.body() = R"({"prompt":"a"})";
  }

  RequestFingerprint Make() const { return FingerprintOf(workspace, inbound, message); }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(request_fingerprint)

BOOST_AUTO_TEST_CASE(request_id_and_deadline_do_not_change_the_fingerprint) {
  Sample copy;
  copy.inbound.id = RequestId("r2");
  copy.inbound.time_limit = std::chrono::milliseconds(7);
  copy.message.set("X-Request-Id", "r2");
  BOOST_TEST(Sample().Make() == copy.Make());
}

BOOST_AUTO_TEST_CASE(workspace_method_host_path_query_and_body_change_the_fingerprint) {
  std::vector<Sample> others(6);
  others[0].workspace = WorkspaceId("other");
  others[1].message.method(http::verb::get);
  others[2].inbound.host = "h2";
  others[3].message.target("/gen/y?q=1");
  others[4].message.target("/gen/x?q=2");
  others[5].message.body() = R"({"prompt":"b"})";
  std::set<RequestFingerprint> seen = {Sample().Make()};
  for (const Sample& other : others) seen.insert(other.Make());
  BOOST_TEST(seen.size() == 7U);
}

BOOST_AUTO_TEST_CASE(moving_bytes_between_fields_changes_the_fingerprint) {
  Sample longer_path;
  longer_path.message.target("/gen/x?q=1a");
  longer_path.message.body() = "b";
  Sample longer_body;
  longer_body.message.body() = "ab";
  BOOST_TEST(longer_path.Make() != longer_body.Make());
}

BOOST_AUTO_TEST_CASE(any_different_body_byte_changes_the_fingerprint) {
  Sample other;
  other.message.body() = R"({"prompt": "a"})";
  BOOST_TEST(Sample().Make() != other.Make());
}

BOOST_AUTO_TEST_SUITE_END()
