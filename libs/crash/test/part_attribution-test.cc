#include "crash/part_attribution.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <vector>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};
const ModelId kModel("m");
constexpr std::uint64_t kFirst = 1;    // in all prompts
constexpr std::uint64_t kCulprit = 7;  // crashes engines
constexpr std::uint64_t kOther = 8;

RequestFingerprint Part(std::uint64_t id) { return PartFingerprint(kModel, id); }

RequestFeatures Request(std::vector<std::uint64_t> ids, WorkspaceHash workspace = 1) {
  static std::uint64_t last_content = 0;
  RequestFeatures request{RequestFingerprint(++last_content), workspace, {}};
  request.AddParts(kModel, ids);
  return request;
}

struct Fixture {
  PartAttribution attribution{AttributionOptions{}};
  BackendHash last_backend = 0;
  std::optional<PartVerdict> verdict;

  Fixture() {
    // Traffic of a minute, to which prompts without the culprit belong.
    for (int i = 0; i < 600; ++i) {
      const RequestFeatures request = Request({kFirst, 100U + static_cast<std::uint64_t>(i % 40)});
      const TimePoint at = kStart - 60s + i * 100ms;
      attribution.traffic().RecordWait(request.parts, 100ms, 1, at);
      attribution.RecordSurvival(request.parts, at, at + 150ms);
    }
  }

  /// A server crashes with one request whose answer had not begun.
  void Crash(const RequestFeatures& request, TimePoint now) {
    CrashSuspect suspect{++last_backend, request.content, request.workspace, {}, true};
    for (const PartFeature& part : request.parts) suspect.parts.push_back(part.anywhere);
    attribution.RecordCrash(suspect, now);
    const auto found = attribution.Judge(suspect, now, [](RequestFingerprint) { return false; });
    if (found) verdict = found;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(part_attribution, Fixture)

BOOST_AUTO_TEST_CASE(third_crash_identifies_a_new_part) {
  for (int i = 0; i < 2; ++i) {
    Crash(Request({kFirst, kCulprit}, 1U + static_cast<WorkspaceHash>(i)), kStart + i * 200ms);
  }
  BOOST_TEST(!verdict.has_value());
  BOOST_TEST(attribution.CrashesLeft(Part(kCulprit), 0, kStart + 400ms) == 1U);
  Crash(Request({kFirst, kCulprit}), kStart + 400ms);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->part == Part(kCulprit));
  BOOST_TEST(verdict->fingerprint == Part(kCulprit));
}

BOOST_AUTO_TEST_CASE(crashes_that_are_not_proved_yet_count_towards_the_last_trial) {
  BOOST_TEST(attribution.CrashesLeft(Part(kCulprit), 0, kStart) == PartAttribution::kNotSuspected);
  BOOST_TEST(attribution.CrashesLeft(Part(kCulprit), 2, kStart) == 1U);
  BOOST_TEST(attribution.CrashesLeft(Part(kFirst), 2, kStart) > 1U);
}

BOOST_AUTO_TEST_CASE(verdict_is_limited_to_the_workspace_that_sends_the_part) {
  for (int i = 0; i < 3; ++i) Crash(Request({kFirst, kCulprit}, 5), kStart + i * 200ms);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->fingerprint == FeatureOf(Part(kCulprit), 5).in_workspace);
}

BOOST_AUTO_TEST_CASE(part_that_was_sound_takes_five_crashes) {
  const RequestFeatures sound = Request({kFirst, kCulprit});
  attribution.traffic().RecordWait(sound.parts, 100ms, 1, kStart - 1s);
  attribution.RecordSurvival(sound.parts, kStart - 1s, kStart - 800ms);
  for (int i = 0; i < 4; ++i) Crash(Request({kFirst, kCulprit}), kStart + i * 200ms);
  BOOST_TEST(!verdict.has_value());
  Crash(Request({kFirst, kCulprit}), kStart + 1s);
  BOOST_TEST(verdict.has_value());
}

BOOST_AUTO_TEST_CASE(survival_that_began_after_a_crash_clears_the_part) {
  for (int i = 0; i < 2; ++i) Crash(Request({kFirst, kCulprit}), kStart + i * 200ms);
  const RequestFeatures sound = Request({kFirst, kCulprit});
  attribution.RecordSurvival(sound.parts, kStart + 300ms, kStart + 500ms);
  BOOST_TEST(attribution.EvidenceAgainst(Part(kCulprit), kStart + 500ms).crashes == 0U);
  BOOST_TEST(attribution.Contradicts(Part(kCulprit), kStart + 500ms));
  Crash(Request({kFirst, kCulprit}), kStart + 600ms);
  BOOST_TEST(!verdict.has_value());
}

BOOST_AUTO_TEST_CASE(survival_told_by_another_gateway_counts_like_an_own_one) {
  for (int i = 0; i < 2; ++i) Crash(Request({kFirst, kCulprit}), kStart + i * 200ms);
  attribution.ApplySurvival(Part(kCulprit), kStart - 10s);
  BOOST_TEST(attribution.EvidenceAgainst(Part(kCulprit), kStart + 300ms).trusted);
  BOOST_TEST(attribution.EvidenceAgainst(Part(kCulprit), kStart + 300ms).crashes == 2U);
  attribution.ApplySurvival(Part(kCulprit), kStart + 250ms);
  BOOST_TEST(attribution.EvidenceAgainst(Part(kCulprit), kStart + 300ms).crashes == 0U);
}

BOOST_AUTO_TEST_CASE(simultaneous_crashes_are_no_evidence) {
  for (int i = 0; i < 9; ++i) Crash(Request({kFirst, kCulprit}), kStart + i * 2ms);
  BOOST_TEST(!verdict.has_value());
}

BOOST_AUTO_TEST_CASE(copies_of_one_request_do_not_incriminate_its_parts) {
  const RequestFeatures request = Request({kFirst, kCulprit});
  for (int i = 0; i < 9; ++i) Crash(request, kStart + i * 200ms);
  BOOST_TEST(!verdict.has_value());
  Crash(Request({kFirst, kCulprit}), kStart + 2s);
  BOOST_TEST(verdict.has_value());
}

// Guards against a verdict on a common part by a gateway that has just started.
BOOST_AUTO_TEST_CASE(gateway_without_traffic_gives_no_verdict) {
  attribution = PartAttribution(AttributionOptions{});
  for (int i = 0; i < 9; ++i) Crash(Request({kFirst, kCulprit}), kStart + i * 200ms);
  BOOST_TEST(!verdict.has_value());
}

BOOST_AUTO_TEST_CASE(part_of_most_requests_is_not_identified) {
  for (int i = 0; i < 9; ++i) {
    Crash(Request({kFirst, 200U + static_cast<std::uint64_t>(i)}), kStart + i * 200ms);
  }
  BOOST_TEST(!verdict.has_value());
}

BOOST_AUTO_TEST_CASE(suspects_of_explained_crashes_are_not_blamed) {
  for (int i = 0; i < 3; ++i) Crash(Request({kFirst, kCulprit, kOther}), kStart + i * 200ms);
  BOOST_REQUIRE(verdict.has_value());
  const RequestFingerprint blamed = verdict->part;
  attribution.SetQuarantined(verdict->fingerprint, true);
  const RequestFingerprint companion = blamed == Part(kOther) ? Part(kCulprit) : Part(kOther);
  BOOST_TEST(attribution.EvidenceAgainst(companion, kStart + 1s).crashes == 0U);
}

BOOST_AUTO_TEST_CASE(crashes_are_forgotten_and_bounded) {
  AttributionOptions options;
  options.max_crashes = 10;
  attribution = PartAttribution(options);
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    Crash(Request({kFirst, 1'000 + i}), kStart + i * 1ms);
  }
  BOOST_TEST(attribution.suspected_parts() <= 11U);
  Crash(Request({kFirst}), kStart + 1h);
  BOOST_TEST(attribution.suspected_parts() == 1U);
}

// Compares the decision with the posterior of a model that is computed by brute force: one of the
// parts is the cause of a fraction w of all crashes, or none is.
BOOST_AUTO_TEST_CASE(verdict_agrees_with_the_posterior_of_a_simple_model) {
  constexpr int kRounds = 300;
  constexpr int kCrashes = 5;
  std::mt19937_64 random(7);
  int identified = 0;
  int wrong = 0;
  for (int round = 0; round < kRounds; ++round) {
    Fixture fixture;
    const bool has_culprit = round % 2 == 0;
    std::vector<std::vector<std::uint64_t>> suspects;
    for (int i = 0; i < kCrashes; ++i) {
      std::vector<std::uint64_t> ids{100U +
                                     std::uniform_int_distribution<std::uint64_t>(0, 39)(random)};
      if (has_culprit) ids.push_back(kCulprit);
      suspects.push_back(ids);
      fixture.Crash(Request(ids), kStart + i * 200ms);
    }
    // Each of the forty subjects is present with probability 1/40, the culprit with less.
    double best = 0;
    std::uint64_t best_part = 0;
    for (std::uint64_t part = 100; part <= 140; ++part) {
      const std::uint64_t id = part == 140 ? kCulprit : part;
      const double presence = 1.0 / 40;
      double likelihood = 0;
      for (double w = 0.05; w < 1; w += 0.05) {
        double product = 1;
        for (const auto& ids : suspects) {
          const bool present = std::ranges::find(ids, id) != ids.end();
          product *= present ? (w + (1 - w) * presence) / presence : 1 - w;
        }
        likelihood += product * 0.05;
      }
      if (likelihood > best) {
        best = likelihood;
        best_part = id;
      }
    }
    const bool posterior_blames = best * 1e-3 > 1;
    if (fixture.verdict) {
      ++identified;
      const bool agrees = posterior_blames && fixture.verdict->part == Part(best_part);
      wrong += agrees ? 0 : 1;
    }
    BOOST_TEST(fixture.verdict.has_value() == has_culprit);
  }
  BOOST_TEST(identified == kRounds / 2);
  BOOST_TEST(wrong == 0);
}

BOOST_AUTO_TEST_SUITE_END()
