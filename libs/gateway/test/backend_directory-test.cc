#include "gateway/backend_directory.h"

#include <boost/test/unit_test.hpp>

#include "gateway/pushback_registry.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ServiceId kService("s");
const ModelId kModel("m");
const TimePoint kStart{1h};

BackendEntry Entry(const std::string& id, bool draining = false) {
  BackendEntry entry;
  entry.id = BackendId(id);
  entry.service = kService;
  entry.draining = draining;
  return entry;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(backend_directory)

BOOST_AUTO_TEST_CASE(draining_backend_server_gets_no_new_requests) {
  BackendDirectory directory;
  directory.Put(Entry("b"));
  BOOST_TEST(directory.Usable(kService, kStart).size() == 1);
  directory.Put(Entry("b", true));
  BOOST_TEST(directory.Usable(kService, kStart).empty());
}

BOOST_AUTO_TEST_CASE(removal_without_grace_takes_effect_at_once) {
  BackendDirectory directory;
  directory.Put(Entry("b"));
  const BackendPtr held = directory.Find(BackendId("b"));
  directory.Remove(BackendId("b"), Duration::zero(), kStart);
  BOOST_TEST(directory.Usable(kService, kStart).empty());
  BOOST_TEST(directory.FindByHash(HashOf(BackendId("b"))) == nullptr);
  BOOST_TEST(held->removed);
}

BOOST_AUTO_TEST_CASE(lapsed_registration_is_used_until_its_grace_period_ends) {
  BackendDirectory directory;
  directory.Put(Entry("b"));
  directory.Remove(BackendId("b"), 2s, kStart);
  BOOST_TEST(directory.Usable(kService, kStart + 1s).size() == 1);
  BOOST_TEST(directory.Usable(kService, kStart + 2s).empty());
  BOOST_TEST(directory.Expire(kStart + 2s).size() == 1);
}

BOOST_AUTO_TEST_CASE(returning_registration_cancels_the_grace_period) {
  BackendDirectory directory;
  directory.Put(Entry("b"));
  directory.Remove(BackendId("b"), 2s, kStart);
  directory.Put(Entry("b"));
  BOOST_TEST(directory.Expire(kStart + 3s).empty());
  BOOST_TEST(directory.Usable(kService, kStart + 3s).size() == 1);
}

BOOST_AUTO_TEST_CASE(repeated_removal_does_not_extend_the_grace_period) {
  BackendDirectory directory;
  directory.Put(Entry("b"));
  directory.Remove(BackendId("b"), 2s, kStart);
  directory.Remove(BackendId("b"), 2s, kStart + 1s);
  BOOST_TEST(directory.Usable(kService, kStart + 2s).empty());
}

BOOST_AUTO_TEST_CASE(weights_only_advance_and_newer_ones_empty_the_cache) {
  BackendDirectory directory;
  directory.Put(Entry("b"));
  Backend& backend = *directory.Find(BackendId("b"));
  BackendDirectory::RecordWeights(backend, kModel, WeightsNumber(2));
  const SharedPart part{7, 50};
  backend.cache.Use({&part, 1}, 100, 1'000, kStart);
  BackendDirectory::RecordWeights(backend, kModel, WeightsNumber(1));
  BOOST_TEST((backend.weights[kModel] == WeightsNumber(2)));
  BOOST_TEST(backend.cache.Contains(part.hash));
  BackendDirectory::RecordWeights(backend, kModel, WeightsNumber(3));
  BOOST_TEST(backend.cache.tokens() == 0U);
}

// Engines that crash may be back at their address before their old registrations lapse; requests
// must not go to the old entries.
BOOST_AUTO_TEST_CASE(new_backend_server_at_an_address_supersedes_previous_ones) {
  BackendDirectory directory;
  BackendEntry old_entry = Entry("old");
  old_entry.address = "10.0.0.1:1";
  BackendEntry new_entry = Entry("new");
  new_entry.address = old_entry.address;
  directory.Put(old_entry);
  directory.Put(new_entry);
  const auto usable = directory.Usable(kService, kStart);
  BOOST_REQUIRE(usable.size() == 1U);
  BOOST_TEST((usable[0]->entry.id == BackendId("new")));
  directory.Replace({old_entry, new_entry}, 2s, kStart);
  BOOST_TEST(directory.Usable(kService, kStart).size() == 1U);
}

BOOST_AUTO_TEST_CASE(full_list_supersedes_neither_of_two_at_one_address) {
  BackendDirectory directory;
  BackendEntry one = Entry("one");
  BackendEntry other = Entry("other");
  one.address = other.address = "10.0.0.1:1";
  directory.Replace({one, other}, 2s, kStart);
  BOOST_TEST(directory.Usable(kService, kStart).size() == 2U);
}

BackendEntry Started(const std::string& id, std::uint64_t started) {
  BackendEntry entry = Entry(id);
  entry.started = StartStamp(started);
  entry.address = "10.0.0.1:1";
  return entry;
}

// Guards against a backend server that gets no requests for good once another id was registered at
// its address.
BOOST_AUTO_TEST_CASE(backend_server_that_stands_alone_again_is_usable) {
  BackendDirectory directory;
  directory.Put(Started("one", 0));
  directory.Put(Started("other", 0));
  directory.Remove(BackendId("other"), Duration::zero(), kStart);
  const auto usable = directory.Usable(kService, kStart);
  BOOST_REQUIRE(usable.size() == 1U);
  BOOST_TEST((usable[0]->entry.id == BackendId("one")));
}

// Guards against a late registration of an ended process that takes its successor out of use.
BOOST_AUTO_TEST_CASE(later_start_at_an_address_wins_in_any_order_of_arrival) {
  for (const bool later_first : {true, false}) {
    BackendDirectory directory;
    directory.Put(later_first ? Started("later", 6) : Started("earlier", 5));
    directory.Put(later_first ? Started("earlier", 5) : Started("later", 6));
    const auto usable = directory.Usable(kService, kStart);
    BOOST_REQUIRE(usable.size() == 1U);
    BOOST_TEST((usable[0]->entry.id == BackendId("later")));
  }
}

// Guards against requests to the ended one of two processes that a listing reports at one address.
BOOST_AUTO_TEST_CASE(later_start_at_an_address_wins_in_a_listing) {
  for (const char* later : {"a", "z"}) {
    BackendDirectory directory;
    directory.Replace({Started(later, 6), Started("m", 5)}, 2s, kStart);
    const auto usable = directory.Usable(kService, kStart);
    BOOST_REQUIRE(usable.size() == 1U);
    BOOST_TEST((usable[0]->entry.id == BackendId(later)));
  }
}

// Guards against a backend server that stays out of use because another service, which the
// configuration no longer names, had a server at its address.
BOOST_AUTO_TEST_CASE(server_of_a_removed_service_supersedes_nobody) {
  BackendDirectory directory;
  directory.Put(Started("b", 0));
  BackendEntry foreign = Started("x", 0);
  foreign.service = ServiceId("t");
  directory.Put(foreign);
  BOOST_TEST(directory.Usable(kService, kStart).empty());
  directory.SetServices({kService});
  BOOST_TEST(directory.Usable(kService, kStart).size() == 1U);
}

// An engine that crashes may start again under the same id; nothing known of the old process
// applies to the new one.
BOOST_AUTO_TEST_CASE(restart_under_a_known_id_resets_the_entry) {
  BackendDirectory directory;
  BOOST_TEST((directory.Put(Started("b", 5)) == Registration::kAdded));
  const BackendPtr before = directory.Find(BackendId("b"));
  const SharedPart part{7, 50};
  before->cache.Use({&part, 1}, 100, 1'000, kStart);
  before->in_flight = 3;
  before->peers.running = 4;
  before->failures = 2;
  BackendDirectory::RecordWeights(*before, kModel, WeightsNumber(2));
  BOOST_TEST((directory.Put(Started("b", 6)) == Registration::kRestarted));
  const BackendPtr after = directory.Find(BackendId("b"));
  BOOST_TEST(before->removed);
  BOOST_TEST(!after->removed);
  BOOST_TEST(after->cache.tokens() == 0U);
  BOOST_TEST(after->in_flight == 0U);
  BOOST_TEST(after->peers.running == 0U);
  BOOST_TEST(after->failures == 0U);
  BOOST_TEST(after->weights.empty());
  BOOST_TEST(directory.FindByHash(HashOf(*before)) == nullptr);
  BOOST_TEST(directory.FindByHash(HashOf(*after)) == after);
  BOOST_TEST(directory.Usable(kService, kStart).size() == 1U);
}

// Guards against requests to a server that has asked for rest: the registration of the process
// before it is read after its answer, and looks like a restart.
BOOST_AUTO_TEST_CASE(requested_rest_outlasts_a_registration_that_is_read_later) {
  BackendDirectory directory;
  directory.Put(Started("b", 5));
  BackendPushback rest;
  rest.backoff = 2s;
  directory.Find(BackendId("b"))->notice_state.ApplyPushback(rest, kStart, kStart);
  BOOST_TEST((directory.Put(Started("b", 6)) == Registration::kRestarted));
  const BackendPtr after = directory.Find(BackendId("b"));
  BOOST_TEST(after->notice_state.BlocksRequests(kStart + 1'900ms));
  BOOST_TEST(!after->notice_state.BlocksRequests(kStart + 2s));
}

// The same for a response to a request that was sent before the registration was read.
BOOST_AUTO_TEST_CASE(rest_requested_in_a_late_response_holds_for_the_registered_server) {
  BackendDirectory directory;
  PushbackRegistry registry(directory);
  directory.Put(Started("b", 5));
  const BackendPtr before = directory.Find(BackendId("b"));
  directory.Put(Started("b", 6));
  BackendPushback rest;
  rest.backoff = 2s;
  registry.ApplyPushback(*before, rest, kStart, kStart);
  BOOST_TEST(directory.Find(BackendId("b"))->notice_state.BlocksRequests(kStart + 1s));
}

BOOST_AUTO_TEST_CASE(late_registration_of_an_earlier_start_is_ignored) {
  BackendDirectory directory;
  directory.Put(Started("b", 6));
  const BackendPtr known = directory.Find(BackendId("b"));
  BackendEntry late = Started("b", 5);
  late.draining = true;
  BOOST_TEST((directory.Put(late) == Registration::kStale));
  BOOST_TEST(directory.Find(BackendId("b")) == known);
  BOOST_TEST(!known->entry.draining);
  directory.Remove(BackendId("b"), Duration::zero(), kStart);
  BOOST_TEST((directory.Put(late) == Registration::kStale));
  BOOST_TEST(directory.Usable(kService, kStart).empty());
  BOOST_TEST((directory.Put(Started("b", 6)) == Registration::kAdded));
}

// Guards against a release that counts as running because of an outdated registration.
BOOST_AUTO_TEST_CASE(listener_is_not_told_of_outdated_registrations) {
  BackendDirectory directory;
  std::vector<StartStamp> told;
  directory.SetRegistrationListener(
      [&](const BackendEntry& entry) { told.push_back(entry.started); });
  directory.Put(Started("b", 6));
  directory.Put(Started("b", 5));
  BOOST_TEST((told == std::vector{StartStamp(6)}));
}

BOOST_AUTO_TEST_CASE(full_list_respects_start_stamps) {
  BackendDirectory directory;
  directory.Put(Started("b", 6));
  const BackendPtr known = directory.Find(BackendId("b"));
  directory.Replace({Started("b", 5)}, 2s, kStart);
  BOOST_TEST(directory.Find(BackendId("b")) == known);
  directory.Replace({Started("b", 7)}, 2s, kStart);
  BOOST_TEST(directory.Find(BackendId("b")) != known);
  BOOST_TEST(known->removed);
}

BOOST_AUTO_TEST_CASE(registration_without_a_start_stamp_belongs_to_the_known_process) {
  BackendDirectory directory;
  directory.Put(Started("b", 6));
  const BackendPtr known = directory.Find(BackendId("b"));
  BOOST_TEST((directory.Put(Started("b", 0)) == Registration::kChanged));
  BOOST_TEST(directory.FindByHash(HashOf(*known)) == known);
  BOOST_TEST((directory.Put(Started("b", 7)) == Registration::kRestarted));
}

BOOST_AUTO_TEST_CASE(registration_for_an_unknown_service_supersedes_nobody) {
  BackendDirectory directory;
  directory.SetServices({kService});
  directory.Put(Started("b", 0));
  BackendEntry foreign = Started("x", 0);
  foreign.service = ServiceId("nobody's");
  directory.Put(foreign);
  BOOST_TEST(directory.Usable(kService, kStart).size() == 1U);
}

BOOST_AUTO_TEST_CASE(failures_lengthen_the_backoff_up_to_a_limit) {
  BackendDirectory directory;
  directory.Put(Entry("b"));
  const BackendPtr found = directory.Find(BackendId("b"));
  const Backend& backend = *found;
  directory.RecordFailure(found, kStart);
  BOOST_TEST((backend.avoid_until == kStart + BackendDirectory::kInitialBackoff));
  for (int i = 0; i < 10; ++i) directory.RecordFailure(found, kStart);
  BOOST_TEST((backend.avoid_until == kStart + BackendDirectory::kMaxBackoff));
  BackendDirectory::RecordSuccess(*found);
  BOOST_TEST(backend.failures == 0);
}

BOOST_AUTO_TEST_CASE(withheld_release_is_used_only_if_there_is_no_other) {
  BackendDirectory directory;
  BackendEntry newer = Entry("new");
  newer.release = ReleaseId("v2");
  directory.Put(Entry("old"));
  directory.Put(newer);
  directory.Withhold(kService, ReleaseId("v2"));
  BOOST_REQUIRE(directory.Usable(kService, kStart).size() == 1U);
  BOOST_TEST((directory.Usable(kService, kStart)[0]->entry.id == BackendId("old")));
  directory.Remove(BackendId("old"), Duration::zero(), kStart);
  BOOST_TEST(directory.Usable(kService, kStart).size() == 1U);
  directory.Put(Entry("old"));
  directory.Withhold(kService, std::nullopt);
  BOOST_TEST(directory.Usable(kService, kStart).size() == 2U);
}

// The load: nearly 10,000 engines, of which a gateway uses a few at a time.
BOOST_AUTO_TEST_CASE(only_servers_in_use_are_active) {
  BackendDirectory directory;
  for (int i = 0; i < 1'000; ++i) directory.Put(Entry("b" + std::to_string(i)));
  BOOST_TEST(directory.Active().empty());
  const BackendPtr used = directory.Find(BackendId("b7"));
  const BackendPtr failed = directory.Find(BackendId("b8"));
  ++used->in_flight;
  directory.RecordFailure(failed, kStart);
  for (const BackendPtr& backend : {used, failed, used}) directory.MarkActive(backend);
  BOOST_TEST(directory.Active().size() == 2U);
  --used->in_flight;
  BOOST_TEST(directory.Active().size() == 1U);
  BackendDirectory::RecordReachable(*failed);
  BOOST_TEST(directory.Active().empty());
  directory.MarkActive(used);
  ++used->in_flight;
  BOOST_TEST(directory.Active().size() == 1U);
  directory.Remove(BackendId("b7"), Duration::zero(), kStart);
  BOOST_TEST(directory.Active().empty());
}

BOOST_AUTO_TEST_CASE(changed_address_and_service_are_found) {
  BackendDirectory directory;
  BackendEntry entry = Entry("b");
  entry.address = "10.0.0.1:80";
  directory.Put(entry);
  entry.address = "10.0.0.2:80";
  entry.service = ServiceId("other");
  directory.Put(entry);
  BOOST_TEST(directory.Usable(kService, kStart).empty());
  BOOST_TEST(directory.Usable(ServiceId("other"), kStart).size() == 1U);
  // A newcomer at the former address supersedes nobody, one at the present address does.
  BackendEntry newcomer = Entry("n1");
  newcomer.address = "10.0.0.1:80";
  directory.Put(newcomer);
  BOOST_TEST(!directory.Find(BackendId("b"))->superseded);
  newcomer = Entry("n2");
  newcomer.address = "10.0.0.2:80";
  directory.Put(newcomer);
  BOOST_TEST(directory.Find(BackendId("b"))->superseded);
}

BOOST_AUTO_TEST_SUITE_END()
