#include "config/config.h"

#include <boost/test/unit_test.hpp>

#include "config/change_log.h"

using namespace ridgehold;

namespace {

const std::string kDigest(64, 'a');

const std::string kSetup =
    "create workspace clinics share 2\n"
    "create key " +
    kDigest +
    " workspace clinics\n"
    "create model m weights w1\n"
    "create backend e1 url http://127.0.0.1:1 zone z engine m\n"
    "create backend s1 url http://127.0.0.1:2 zone z service app\n"
    "create rule r1 path /app service app\n"
    "create rule r2 path /app/deep service app repeatable yes dedup none\n"
    "create rule r3 model m policy least-loaded\n";

std::string FaultOf(const std::string& script) {
  const auto failure = FailureOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(base, ApplyScript(Config(), kSetup));
    BOOST_LEAF_CHECK(ApplyScript(base, script));
    return {};
  });
  return failure ? failure->detail : "";
}

Config Setup() {
  return ValueOr([] { return ApplyScript(Config(), kSetup); },
                 [](const Failure&) { return Config(); });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(config)

BOOST_AUTO_TEST_CASE(a_configuration_written_as_statements_is_the_same_again) {
  const Config config = Setup();
  BOOST_TEST(config.backends().size() == 2U);
  const auto again =
      ValueOr([&] { return ApplyScript(Config(), FormatScript(config.ToStatements())); },
              [](const Failure&) { return Config(); });
  BOOST_TEST((again == config));
}

BOOST_AUTO_TEST_CASE(references_must_exist_and_stay) {
  BOOST_TEST(FaultOf("create key " + kDigest + " workspace nobody") != "");
  BOOST_TEST(FaultOf("remove workspace clinics").find("still has keys") != std::string::npos);
  BOOST_TEST(FaultOf("remove model m").find("still has backend servers") != std::string::npos);
  BOOST_TEST(FaultOf("change backend e1 engine other").find("existing model") != std::string::npos);
  BOOST_TEST(FaultOf("create workspace clinics").find("exists already") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bad_values_point_at_their_column) {
  BOOST_TEST(FaultOf("change workspace clinics share 0").starts_with("line 1, column 26: share"));
  BOOST_TEST(FaultOf("change workspace clinics colour red").find("colour is not an attribute") !=
             std::string::npos);
  BOOST_TEST(FaultOf("create key short workspace clinics") != "");
  BOOST_TEST(FaultOf("create backend x url http://h zone z") != "");
}

BOOST_AUTO_TEST_CASE(the_longest_path_prefix_of_whole_segments_wins) {
  const Config config = Setup();
  BOOST_TEST(config.FindByPath("/app/x")->id.value() == "r1");
  BOOST_TEST(config.FindByPath("/app/deep/x")->id.value() == "r2");
  BOOST_TEST((config.FindByPath("/apple") == nullptr));
}

BOOST_AUTO_TEST_CASE(keys_name_workspaces) {
  BOOST_TEST(Setup().FindByKey(kDigest)->id.value() == "clinics");
  BOOST_TEST((Setup().FindByKey("other") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
