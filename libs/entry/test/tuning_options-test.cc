#include "entry/tuning_options.h"

#include <rapidcheck/boost_test.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

using namespace ridgehold;

namespace {

/// Writes a settings file and reads it together with a command line.
struct Fixture {
  std::filesystem::path path = std::filesystem::temp_directory_path() /
                               ("ridgehold-tuning-" + std::to_string(::getpid()) + ".ini");
  EntryTuning tuning;
  CLI::App app;
  TuningOptions options = TuningOptions::Create(app, tuning);

  ~Fixture() { std::filesystem::remove(path); }

  std::optional<Failure> Read(const std::string& text, const std::string& command_line = "") {
    std::ofstream(path) << text;
    app.parse(command_line);
    return FailureOf([&] { return options.ReadFile(path.string()); });
  }

  /// Checks that the file is rejected with `path` followed by `error`.
  void ExpectRejected(const std::string& text, const std::string& error) {
    const auto failure = Read(text);
    BOOST_REQUIRE_MESSAGE(failure.has_value(), text);
    BOOST_TEST((failure->code == ResultCode::kInvalidSettings));
    BOOST_TEST(failure->detail.find(path.string() + error) != std::string::npos, failure->detail);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(tuning_options, Fixture)

BOOST_AUTO_TEST_CASE(file_settings_are_applied) {
  const auto failure = Read(
      "; a comment\n[placement]\nolder-weights = 61\nobserve-speed = false\n"
      "[limits]\nstream-patience = 7.5\n[rollout]\nengines-for-each-load = 4\n");
  BOOST_REQUIRE_MESSAGE(!failure, (failure ? failure->detail : std::string()));
  BOOST_TEST(tuning.placement.older_weights == 61);
  BOOST_TEST(!tuning.placement.estimate_prefill_rate);
  BOOST_TEST(tuning.stream_timeout_objectives == 7.5);
  BOOST_TEST(tuning.engines_per_load == 4U);
  const auto effective = options.EffectiveValues();
  BOOST_TEST(effective.at("placement.older-weights") == "61");
  BOOST_TEST(effective.at("placement.observe-speed") == "false");
  BOOST_TEST(effective.at("placement.per-running-request") == "0.6");
}

BOOST_AUTO_TEST_CASE(command_line_takes_precedence_over_file) {
  BOOST_REQUIRE(
      !Read("[placement]\nolder-weights = 61\n", "--placement.older-weights 7").has_value());
  BOOST_TEST(tuning.placement.older_weights == 7);
}

BOOST_AUTO_TEST_CASE(unknown_section_is_reported_with_its_line) {
  ExpectRejected("[placement]\nolder-weights = 60\n[placment]\nother-zone = 6\n", ":4: [placment]");
}

BOOST_AUTO_TEST_CASE(unknown_key_is_reported_with_its_line) {
  ExpectRejected("[placement]\n\nolder-weight = 60\n", ":3: [placement] has no key older-weight");
}

BOOST_AUTO_TEST_CASE(invalid_values_are_reported_with_their_lines) {
  const std::string text =
      "[placement]\nolder-weights = abc\nother-zone = -1\ndoubtful-part = 1.5\n"
      "[rollout]\nengines-for-each-load = 0\nspare-retries = perhaps\n"
      "[priority]\nmin-objective-ratio = 0.5\n";
  for (const char* error :
       {":2: older-weights", ":3: other-zone", ":4: doubtful-part", ":6: engines-for-each-load",
        ":7: spare-retries", ":9: min-objective-ratio"}) {
    Fixture().ExpectRejected(text, error);
  }
}

BOOST_AUTO_TEST_CASE(duplicate_key_is_rejected) {
  ExpectRejected("[placement]\nother-zone = 5\nother-zone = 6\n", ":3: other-zone is set twice");
}

BOOST_AUTO_TEST_CASE(malformed_line_is_rejected) {
  ExpectRejected("[placement]\nother-zone = 5\nwhat is this\n", ":3:");
}

BOOST_AUTO_TEST_CASE(missing_file_is_rejected) {
  const auto failure = FailureOf([&] { return options.ReadFile("/nowhere/entry.ini"); });
  BOOST_REQUIRE(failure.has_value());
  BOOST_TEST(failure->detail.find("/nowhere/entry.ini") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(deployed_settings_file_is_valid) {
  const auto failure =
      FailureOf([&] { return options.ReadFile(RIDGEHOLD_SOURCE_DIR "/deploy/entry.ini"); });
  BOOST_REQUIRE_MESSAGE(!failure, (failure ? failure->detail : std::string()));
}

RC_BOOST_PROP(arbitrary_file_does_not_crash_the_reader, (const std::string& text)) {
  Fixture fixture;
  fixture.Read("[placement]\n" + text);
}

BOOST_AUTO_TEST_SUITE_END()
