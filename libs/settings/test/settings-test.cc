#include "settings/settings.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "settings/units.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

std::string FaultsOf(const std::string& text) {
  return ValueOr(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseSettings(text, "test.ini"));
        return std::string();
      },
      [](const Failure& failure) { return failure.detail; });
}

constexpr char kMinimal[] = "[daemon]\nid = a\nzone = wiri\n[platform]\nurl = http://127.0.0.1:1\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(minimal_settings_are_accepted) { BOOST_TEST(FaultsOf(kMinimal) == ""); }

BOOST_AUTO_TEST_CASE(all_faults_are_named_at_once_with_their_lines) {
  const std::string faults = FaultsOf(
      "[daemon]\nid = a\nzone = wiri\n[platform]\nurl = http://127.0.0.1:1\n"
      "[limits]\nmax_tries = 99\nstall_timeout = 5\n[cache]\npicture = 3 apples\ncolour = red\n"
      "[peers]\npublic_key = short\n");
  BOOST_TEST(faults.find("test.ini:7: max_tries = 99 is not within 1 and 10") != std::string::npos);
  BOOST_TEST(faults.find("test.ini:8: stall_timeout = 5 is not a time") != std::string::npos);
  BOOST_TEST(faults.find("test.ini:10: picture = 3 apples is not a size") != std::string::npos);
  BOOST_TEST(faults.find("test.ini:11: [cache] has no key colour") != std::string::npos);
  BOOST_TEST(faults.find("test.ini:13: public_key and secret_key go together") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(contradictory_listeners_are_refused) {
  const std::string faults =
      FaultsOf(std::string(kMinimal) + "[caller]\nport = 99\n[operator]\nport = 99\n");
  BOOST_TEST(faults.find("is the caller listener's too") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(examples_of_both_deployments_are_accepted) {
  for (const char* name : {"amakusa", "tasman"}) {
    const std::string path = std::string(RIDGEHOLD_SOURCE_DIR "/examples/") + name + ".ini";
    BOOST_TEST(FailureOf([&] { return LoadSettings(path); }).has_value() == false);
  }
}

BOOST_AUTO_TEST_CASE(units_are_required_and_checked) {
  BOOST_TEST((ParseDuration("250ms") == 250ms));
  BOOST_TEST((ParseDuration("2min") == 120s));
  BOOST_TEST(!ParseDuration("250").has_value());
  BOOST_TEST(ParseBytes("64MiB").value() == 64U << 20);
  BOOST_TEST(!ParseBytes("64MB").has_value());
  BOOST_TEST(!ParseBytes("99999999999999999GiB").has_value());
}

RC_BOOST_PROP(arbitrary_bytes_never_crash_and_give_an_answer, (const std::string& text)) {
  FaultsOf(text);
  FaultsOf(kMinimal + text);
}

BOOST_AUTO_TEST_SUITE_END()
