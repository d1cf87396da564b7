#include "settings/settings.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "settings/units.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

std::string ErrorsOf(const std::string& text) {
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

BOOST_AUTO_TEST_CASE(minimal_settings_are_accepted) { BOOST_TEST(ErrorsOf(kMinimal) == ""); }

BOOST_AUTO_TEST_CASE(all_errors_are_reported_with_line_numbers) {
  const std::string errors = ErrorsOf(
      "[daemon]\nid = a\nzone = wiri\n[platform]\nurl = http://127.0.0.1:1\n"
      "[limits]\nmax_tries = 99\nstall_timeout = 5\n[cache]\npicture = 3 apples\ncolour = red\n"
      "[peers]\npublic_key = short\n");
  BOOST_TEST(errors.find("test.ini:7: max_tries = 99 is not between 1 and 10") !=
             std::string::npos);
  BOOST_TEST(errors.find("test.ini:8: stall_timeout = 5 is not a duration") != std::string::npos);
  BOOST_TEST(errors.find("test.ini:10: picture = 3 apples is not a size") != std::string::npos);
  BOOST_TEST(errors.find("test.ini:11: [cache] has no key colour") != std::string::npos);
  BOOST_TEST(errors.find("test.ini:13: public_key and secret_key must be set together") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(listeners_on_the_same_port_are_rejected) {
  const std::string errors =
      ErrorsOf(std::string(kMinimal) + "[caller]\nport = 99\n[operator]\nport = 99\n");
  BOOST_TEST(errors.find("is also the caller listener's port") != std::string::npos);
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

RC_BOOST_PROP(arbitrary_bytes_never_crash_the_parser, (const std::string& text)) {
  ErrorsOf(text);
  ErrorsOf(kMinimal + text);
}

BOOST_AUTO_TEST_SUITE_END()
