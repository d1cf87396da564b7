#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "resumption/origin_keepers.h"
#include "resumption/origin_search.h"
#include "resumption/origin_table.h"
#include "resumption/release_history.h"
#include "resumption/stored_origins.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};
constexpr auto kLifetime = 30s;
const ReleaseId kV1("v1");
const ReleaseId kV2("v2");
const StreamScope kScope(7);
const AttemptHash kAttempt(1);
const ServiceId kService("s");

}  // namespace

BOOST_AUTO_TEST_SUITE(origin_table)

// Guards against a client that takes up the stream of another workspace or service.
BOOST_AUTO_TEST_CASE(attempt_of_another_scope_is_unknown) {
  OriginTable table;
  table.Add(kAttempt, {{kScope, kV1}, kService, false}, kStart);
  BOOST_TEST(table.Find(kAttempt, kScope)->release == kV1);
  BOOST_TEST(table.Find(kAttempt, StreamScope(8)) == nullptr);
  BOOST_TEST(table.Find(AttemptHash(2), kScope) == nullptr);
}

BOOST_AUTO_TEST_CASE(first_origin_of_an_attempt_stays) {
  OriginTable table;
  table.Add(kAttempt, {{kScope, kV1}, kService, false}, kStart);
  table.Add(kAttempt, {{kScope, kV2}, kService, false}, kStart);
  BOOST_TEST(table.Find(kAttempt, kScope)->release == kV1);
}

BOOST_AUTO_TEST_CASE(expired_and_surplus_entries_are_evicted) {
  OriginTable table;
  for (std::uint64_t i = 1; i <= OriginTable::kMaxEntries + 5; ++i) {
    table.Add(AttemptHash(i), {{kScope, kV1}, kService, false}, kStart);
  }
  BOOST_TEST(table.size() == OriginTable::kMaxEntries);
  BOOST_TEST(table.Find(AttemptHash(5), kScope) == nullptr);
  table.Expire(kLifetime, kStart + kLifetime + 1ms);
  BOOST_TEST(table.size() == 0);
}

BOOST_AUTO_TEST_CASE(unshared_streams_are_taken_once) {
  OriginTable table;
  table.Add(AttemptHash(1), {{kScope, kV1}, kService, false}, kStart);
  table.Add(AttemptHash(2), {{kScope, kV1}, kService, true}, kStart);
  table.Add(AttemptHash(3), {{kScope, kV1}, ServiceId("t"), false}, kStart);
  BOOST_TEST(table.TakeUnshared(kService).size() == 1);
  BOOST_TEST(table.TakeUnshared(kService).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(release_history)

BOOST_AUTO_TEST_CASE(release_counts_until_its_streams_can_no_longer_be_resumed) {
  ReleaseHistory history;
  history.Observe({kV1, kV2}, kStart);
  history.Observe({kV2}, kStart + kLifetime);
  BOOST_TEST(history.Summarize(kLifetime, kStart + kLifetime).several);
  const auto later = history.Summarize(kLifetime, kStart + kLifetime + 1ms);
  BOOST_TEST(!later.several);
  BOOST_TEST(later.complete);
  BOOST_TEST((later.single == kV2));
}

BOOST_AUTO_TEST_CASE(history_is_complete_after_one_lifetime) {
  ReleaseHistory history;
  BOOST_TEST(!history.Summarize(kLifetime, kStart).complete);
  history.Observe({kV1}, kStart);
  const auto early = history.Summarize(kLifetime, kStart + kLifetime);
  BOOST_TEST(!early.complete);
  BOOST_TEST((early.single == kV1));
}

// Guards against a restarted gateway that takes the registered release for the only one, although
// another one's servers left while no gateway was running.
BOOST_AUTO_TEST_CASE(recorded_release_counts_although_it_is_no_longer_registered) {
  ReleaseHistory history;
  history.Restore({{kV1}, true}, kStart);
  history.Observe({kV2}, kStart);
  const auto summary = history.Summarize(kLifetime, kStart);
  BOOST_TEST(summary.several);
  BOOST_TEST(!summary.IsSingle());
  BOOST_TEST((history.ToRecord(kLifetime, kStart) == ReleaseRecord{{kV1, kV2}, true}));
  history.Observe({kV2}, kStart + kLifetime + 1ms);
  BOOST_TEST((history.ToRecord(kLifetime, kStart + kLifetime + 1ms) == ReleaseRecord{{kV2}, true}));
}

// Guards against resumed streams that are all refused after every gateway was restarted.
BOOST_AUTO_TEST_CASE(complete_record_proves_a_single_release_at_once) {
  ReleaseHistory history;
  history.Restore({{kV1}, true}, kStart);
  history.Observe({kV1}, kStart);
  BOOST_TEST(history.Summarize(kLifetime, kStart).IsSingle());
}

BOOST_AUTO_TEST_CASE(incomplete_record_proves_nothing_until_a_lifetime_has_passed) {
  ReleaseHistory history;
  history.Restore({{kV1}, false}, kStart);
  history.Observe({kV1}, kStart);
  BOOST_TEST(!history.Summarize(kLifetime, kStart).IsSingle());
  BOOST_TEST(!history.ToRecord(kLifetime, kStart).complete);
  history.Observe({kV1}, kStart + kLifetime + 1ms);
  BOOST_TEST(history.Summarize(kLifetime, kStart + kLifetime + 1ms).IsSingle());
}

// Guards against gateways that write a release back which another one has rightly removed.
BOOST_AUTO_TEST_CASE(release_that_left_the_record_is_forgotten_unless_it_was_registered_here) {
  ReleaseHistory history;
  history.Restore({{kV1, kV2}, true}, kStart);
  history.Observe({kV2}, kStart);
  history.Restore({{kV2}, true}, kStart + 1s);
  BOOST_TEST((history.ToRecord(kLifetime, kStart + 1s) == ReleaseRecord{{kV2}, true}));
  history.Observe({kV1}, kStart + 2s);
  history.Restore({{kV2}, true}, kStart + 3s);
  BOOST_TEST((history.ToRecord(kLifetime, kStart + 3s) == ReleaseRecord{{kV1, kV2}, true}));
}

// Guards against a release that begins streams before the record of the service lists it.
BOOST_AUTO_TEST_CASE(release_is_unrecorded_until_the_record_lists_it) {
  ReleaseHistory history;
  history.Observe({kV1}, kStart);
  BOOST_TEST(history.Unrecorded(kStart).empty());
  history.Restore({{kV1}, true}, kStart);
  history.Observe({kV1, kV2}, kStart);
  BOOST_TEST((history.Unrecorded(kStart + 1s) == std::set{kV2}));
  history.Restore({{kV1, kV2}, true}, kStart + 1s);
  BOOST_TEST(history.Unrecorded(kStart + 1s).empty());
}

// Guards against new servers that get no streams as long as the store takes no writes.
BOOST_AUTO_TEST_CASE(release_does_not_wait_for_its_record_forever) {
  ReleaseHistory history;
  history.Restore({{kV1}, true}, kStart);
  history.Observe({kV1, kV2}, kStart);
  BOOST_TEST(!history.Unrecorded(kStart + ReleaseHistory::kMaxRecordDelay - 1ms).empty());
  BOOST_TEST(history.Unrecorded(kStart + ReleaseHistory::kMaxRecordDelay).empty());
}

// A registration without a version is a release of its own.
BOOST_AUTO_TEST_CASE(missing_version_differs_from_all_others) {
  ReleaseHistory history;
  history.Observe({ReleaseId(), kV1}, kStart);
  BOOST_TEST(history.Summarize(kLifetime, kStart).several);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(origin_search)

BOOST_AUTO_TEST_CASE(answer_of_a_keeper_ends_the_search) {
  OriginSearch search({true, std::nullopt, true}, 3);
  search.Add({1, std::nullopt, true, std::nullopt});
  BOOST_TEST(!search.done());
  search.Add({1, kV2, true, std::nullopt});
  BOOST_TEST(search.done());
  BOOST_TEST((search.Conclude() == OriginFinding{OriginSource::kPeer, kV2}));
}

// Guards against a stream that goes on at either of two releases that gateways name for it.
BOOST_AUTO_TEST_CASE(gateways_that_name_different_releases_prove_none) {
  OriginSearch search({true, std::nullopt, true}, 2);
  search.Add({1, kV1, true, std::nullopt});
  search.Add({1, kV2, true, std::nullopt});
  BOOST_TEST((search.Conclude() == OriginFinding{}));
}

// Guards against a gateway that was cut off while a release joined and takes its own knowledge for
// current.
BOOST_AUTO_TEST_CASE(single_release_of_a_complete_history_is_no_proof_without_answers) {
  OriginSearch search({false, kV1, true}, 7);
  BOOST_TEST(!search.done());
  BOOST_TEST((search.Conclude() == OriginFinding{}));
  BOOST_TEST(!search.IsRefuted());
}

// Guards against gateways that were cut off or stood still together while a release joined and
// confirm each other.
BOOST_AUTO_TEST_CASE(some_of_the_gateways_prove_nothing) {
  OriginSearch search({false, kV1, true}, 7);
  for (int i = 0; i < 6; ++i) search.Add({1, std::nullopt, false, kV1});
  BOOST_TEST((search.Conclude() == OriginFinding{}));
  search.Add({1, std::nullopt, false, kV1});
  BOOST_TEST((search.Conclude() == OriginFinding{OriginSource::kSingleRelease, kV1}));
}

// Guards against a gateway that knows of no other and takes its own knowledge for the fleet's.
BOOST_AUTO_TEST_CASE(gateway_without_peers_proves_nothing) {
  BOOST_TEST((OriginSearch({false, kV1, true}, 0).Conclude() == OriginFinding{}));
}

// Guards against a restarted gateway that sees only the release which has replaced the stream's.
BOOST_AUTO_TEST_CASE(restarted_gateway_heeds_peers_that_have_seen_another_release) {
  OriginSearch search({false, kV2, false}, 2);
  search.Add({1, std::nullopt, false, std::nullopt});
  search.Add({1, std::nullopt, true, std::nullopt});
  BOOST_TEST(search.IsRefuted());
  BOOST_TEST((search.Conclude() == OriginFinding{}));
}

// Guards against gateways that have all just started and take each other's ignorance for proof that
// there was no other release.
BOOST_AUTO_TEST_CASE(restarted_gateways_do_not_confirm_each_others_ignorance) {
  OriginSearch search({false, kV1, false}, 2);
  search.Add({1, std::nullopt, false, std::nullopt});
  search.Add({1, std::nullopt, false, std::nullopt});
  BOOST_TEST((search.Conclude() == OriginFinding{}));
}

// Guards against resumed streams that are refused at a restarted gateway although others know.
BOOST_AUTO_TEST_CASE(restarted_gateway_relies_on_peers_that_can_tell) {
  OriginSearch search({false, kV1, false}, 3);
  for (int i = 0; i < 2; ++i) search.Add({1, std::nullopt, false, kV1});
  BOOST_TEST((search.Conclude() == OriginFinding{}));
  search.Add({1, std::nullopt, false, kV1});
  BOOST_TEST((search.Conclude() == OriginFinding{OriginSource::kSingleRelease, kV1}));
}

BOOST_AUTO_TEST_CASE(peer_that_knows_another_single_release_refutes) {
  OriginSearch search({false, kV1, true}, 2);
  search.Add({1, std::nullopt, false, kV2});
  search.Add({1, std::nullopt, false, kV1});
  BOOST_TEST((search.Conclude() == OriginFinding{}));
}

// Guards against streams that are all refused while the store is away for every gateway.
BOOST_AUTO_TEST_CASE(gateways_that_are_not_up_to_date_rely_on_each_other) {
  OriginSearch search({false, kV1, true}, 2);
  for (int i = 0; i < 2; ++i) search.Add({1, std::nullopt, false, std::nullopt, kV1});
  BOOST_TEST((search.Conclude() == OriginFinding{OriginSource::kSingleRelease, kV1}));
}

BOOST_AUTO_TEST_CASE(without_any_answer_nothing_is_known) {
  OriginSearch search({false, kV1, false}, 2);
  BOOST_TEST((search.Conclude() == OriginFinding{}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stored_origins)

BOOST_AUTO_TEST_CASE(stream_is_found_in_any_batch_until_that_is_removed) {
  StoredOrigins origins;
  origins.Put("a", {{kV1, {StreamHash(9), StreamHash(3)}}, {kV2, {StreamHash(5)}}});
  origins.Put("b", {{kV2, {StreamHash(4)}}});
  BOOST_TEST((origins.Find(StreamHash(3)) == kV1));
  BOOST_TEST((origins.Find(StreamHash(4)) == kV2));
  BOOST_TEST(!origins.Find(StreamHash(6)));
  BOOST_TEST(origins.size() == 4U);
  origins.Put("a", {{kV1, {StreamHash(9)}}});
  BOOST_TEST(!origins.Find(StreamHash(3)));
  origins.Remove("a");
  BOOST_TEST(!origins.Find(StreamHash(9)));
}

// Guards against a wrong release of a stream whose hash another stream has, too.
BOOST_AUTO_TEST_CASE(stream_of_two_releases_is_of_none) {
  StoredOrigins origins;
  origins.Put("a", {{kV1, {StreamHash(9)}}});
  origins.Put("b", {{kV2, {StreamHash(9)}}});
  BOOST_TEST(!origins.Find(StreamHash(9)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(origin_keepers)

RC_BOOST_PROP(most_keepers_stay_when_gateways_come_and_go, (std::uint64_t attempt)) {
  std::vector<std::string> gateways;
  for (int i = 0; i < 85; ++i) gateways.push_back("10.0.0." + std::to_string(i));
  const auto told = RankKeepers(AttemptHash(attempt), gateways, kOriginKeepers);
  RC_ASSERT(told.size() == kOriginKeepers);
  gateways.erase(gateways.begin() + *rc::gen::inRange(0, 85));
  gateways.push_back("10.0.1.1");
  const auto asked = RankKeepers(AttemptHash(attempt), gateways, kAskedForOrigin);
  const std::set<std::string> asked_set(asked.begin(), asked.end());
  const auto found = std::ranges::count_if(
      told, [&](const std::string& gateway) { return asked_set.contains(gateway); });
  RC_ASSERT(found + 1 >= static_cast<std::ptrdiff_t>(kOriginKeepers));
}

BOOST_AUTO_TEST_SUITE_END()
