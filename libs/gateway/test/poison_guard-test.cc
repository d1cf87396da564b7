#include <boost/test/unit_test.hpp>

#include "gateway/poison_guard.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};
const RequestFingerprint kRequest(7);

Backend BackendNamed(const std::string& id) {
  Backend backend;
  backend.entry.id = BackendId(id);
  return backend;
}

struct Fixture {
  Metrics metrics;
  PoisonGuard guard{metrics, PoisonOptions{}};

  /// The backend servers with these names crash while running the request.
  void Crash(std::initializer_list<const char*> names, TimePoint now = kStart) {
    for (const char* name : names) {
      const Backend backend = BackendNamed(name);
      guard.RecordInterruption(backend, kRequest, now);
      guard.RecordCrash(backend, "refused", now);
    }
  }

  Suspicion CurrentSuspicion(TimePoint now = kStart) const {
    return guard.SuspicionOf(kRequest, now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(poison_guard, Fixture)

BOOST_AUTO_TEST_CASE(interrupted_connection_alone_raises_no_suspicion) {
  for (const char* name : {"a", "b", "c", "d"}) {
    guard.RecordInterruption(BackendNamed(name), kRequest, kStart);
  }
  BOOST_TEST((CurrentSuspicion() == Suspicion::kNone));
  BOOST_TEST(guard.TakeUpdate().empty());
}

BOOST_AUTO_TEST_CASE(crash_reports_lead_to_the_same_verdict_at_peers) {
  Crash({"a", "b", "c"});
  BOOST_TEST((CurrentSuspicion() == Suspicion::kQuarantined));
  const PoisonUpdate update = guard.TakeUpdate();
  BOOST_TEST(update.crashes.size() == 3U);
  BOOST_TEST(update.quarantined.size() == 1U);
  PoisonGuard other(metrics, PoisonOptions{});
  PoisonUpdate crashes_only;
  crashes_only.crashes = update.crashes;
  other.ApplyUpdate(crashes_only, kStart);
  BOOST_TEST((other.SuspicionOf(kRequest, kStart) == Suspicion::kQuarantined));
  BOOST_TEST(!other.DecidedLocally(kRequest));
  BOOST_TEST(guard.DecidedLocally(kRequest));
}

// Guards against copies that crash further servers while the crashes of the first two are unproved.
BOOST_AUTO_TEST_CASE(interruptions_at_another_gateway_hold_the_request_back) {
  PoisonGuard other(metrics, PoisonOptions{});
  for (const char* name : {"a", "b"}) {
    guard.RecordPossibleCrash(BackendNamed(name), kRequest, 2, kStart);
  }
  BOOST_TEST(guard.AwaitsProof(kRequest, kStart));
  BOOST_TEST(!other.AwaitsProof(kRequest, kStart));
  other.ApplyUpdate(guard.TakeUpdate(), kStart);
  BOOST_TEST(other.AwaitsProof(kRequest, kStart));
  BOOST_TEST((other.SuspicionOf(kRequest, kStart) == Suspicion::kNone));
  BOOST_TEST(!other.AwaitsProof(kRequest, kStart + UnprovenCrashes::kProofTime));
}

// Guards against crashes that are never counted because the gateway that saw the interruptions ends
// before they are proved.
BOOST_AUTO_TEST_CASE(crash_counts_at_a_gateway_that_was_told_of_the_interruption) {
  PoisonGuard other(metrics, PoisonOptions{});
  for (const char* name : {"a", "b", "c"}) {
    guard.RecordPossibleCrash(BackendNamed(name), kRequest, 2, kStart);
  }
  const PoisonUpdate update = guard.TakeUpdate();
  for (int sent = 0; sent < 3; ++sent) other.ApplyUpdate(update, kStart);
  other.RecordCrash(BackendNamed("a"), "refused", kStart + 120ms);
  other.RecordCrash(BackendNamed("b"), "registration", kStart + 2s);
  BOOST_TEST((other.SuspicionOf(kRequest, kStart + 2s) == Suspicion::kLastTrial));
  other.RecordCrash(BackendNamed("c"), "registration", kStart + 2s);
  BOOST_TEST((other.SuspicionOf(kRequest, kStart + 2s) == Suspicion::kQuarantined));
}

BOOST_AUTO_TEST_CASE(request_that_has_just_succeeded_is_not_held_back) {
  guard.RecordCompletion(kRequest, kStart);
  for (const char* name : {"a", "b", "c"}) {
    guard.RecordPossibleCrash(BackendNamed(name), kRequest, 2, kStart);
  }
  BOOST_TEST(!guard.AwaitsProof(kRequest, kStart));
  BOOST_TEST(guard.TakeUpdate().interruptions.empty());
}

BOOST_AUTO_TEST_CASE(crashes_seen_by_different_gateways_add_up) {
  PoisonGuard other(metrics, PoisonOptions{});
  Crash({"a", "b"});
  const Backend third = BackendNamed("c");
  other.RecordInterruption(third, kRequest, kStart);
  other.RecordCrash(third, "refused", kStart);
  guard.ApplyUpdate(other.TakeUpdate(), kStart);
  BOOST_TEST((CurrentSuspicion() == Suspicion::kQuarantined));
}

BOOST_AUTO_TEST_CASE(copies_queued_at_backend_servers_are_cancelled) {
  std::optional<PoisonGuard::Ticket> ticket;
  std::optional<PoisonGuard::Ticket> other;
  int cancelled = 0;
  guard.Watch(ticket, kRequest, [&] {
    ++cancelled;
    ticket.reset();
  });
  guard.Watch(other, RequestFingerprint(8), [&] { cancelled += 100; });
  Crash({"a", "b", "c"});
  BOOST_TEST(cancelled == 1);
}

BOOST_AUTO_TEST_CASE(recently_successful_request_is_not_the_cause) {
  guard.RecordCompletion(kRequest, kStart - 1s);
  Crash({"a", "b", "c"});
  BOOST_TEST((CurrentSuspicion() == Suspicion::kSuspect));
  BOOST_TEST(!guard.TakeUpdate().cleared.empty());
}

BOOST_AUTO_TEST_CASE(gateway_that_saw_a_success_corrects_its_peers) {
  PoisonGuard other(metrics, PoisonOptions{});
  other.RecordCompletion(kRequest, kStart - 1s);
  Crash({"a", "b", "c"});
  other.ApplyUpdate(guard.TakeUpdate(), kStart);
  BOOST_TEST((other.SuspicionOf(kRequest, kStart) != Suspicion::kQuarantined));
  guard.ApplyUpdate(other.TakeUpdate(), kStart);
  BOOST_TEST((CurrentSuspicion() == Suspicion::kNone));
}

BOOST_AUTO_TEST_CASE(manual_release_applies_everywhere_and_is_deleted_from_the_store) {
  PoisonGuard other(metrics, PoisonOptions{});
  Crash({"a", "b", "c"});
  other.ApplyUpdate(guard.TakeUpdate(), kStart);
  BOOST_TEST(guard.Release(kRequest, kStart));
  BOOST_TEST((CurrentSuspicion() == Suspicion::kNone));
  BOOST_TEST(guard.TakeReleased().size() == 1U);
  other.ApplyUpdate(guard.TakeUpdate(), kStart);
  BOOST_TEST((other.SuspicionOf(kRequest, kStart) == Suspicion::kNone));
}

// Guards against a stale quarantine in the store: the deciding gateway stores its verdict a few ms
// before a peer corrects it. If the key is not deleted, an innocent request is rejected for ten
// minutes.
BOOST_AUTO_TEST_CASE(correction_deletes_a_stored_verdict) {
  Crash({"a", "b", "c"});
  BOOST_REQUIRE(guard.DecidedLocally(kRequest));
  PoisonUpdate correction;
  correction.cleared.push_back(kRequest);
  guard.ApplyUpdate(correction, kStart);
  BOOST_TEST((CurrentSuspicion() == Suspicion::kNone));
  const std::vector<RequestFingerprint> released = guard.TakeReleased();
  BOOST_TEST(released.size() == 1U);
}

BOOST_AUTO_TEST_CASE(stored_verdict_on_a_recently_successful_request_is_deleted) {
  guard.RecordCompletion(kRequest, kStart);
  guard.ApplyStored(kRequest, 5min, kStart + 1s);
  BOOST_TEST((CurrentSuspicion(kStart + 1s) == Suspicion::kNone));
  BOOST_TEST(guard.TakeReleased().size() == 1U);
}

BOOST_AUTO_TEST_CASE(gateway_that_missed_a_verdict_receives_it_after_its_next_crash_report) {
  PoisonGuard late(metrics, PoisonOptions{});
  Crash({"a", "b", "c"});
  guard.TakeUpdate();
  const Backend fourth = BackendNamed("d");
  late.RecordInterruption(fourth, kRequest, kStart);
  late.RecordCrash(fourth, "refused", kStart);
  guard.ApplyUpdate(late.TakeUpdate(), kStart);
  late.ApplyUpdate(guard.TakeUpdate(), kStart);
  BOOST_TEST((late.SuspicionOf(kRequest, kStart) == Suspicion::kQuarantined));
}

BOOST_AUTO_TEST_CASE(stored_quarantine_is_applied_and_not_written_again) {
  guard.ApplyStored(kRequest, 1min, kStart);
  BOOST_TEST((CurrentSuspicion() == Suspicion::kQuarantined));
  BOOST_TEST(guard.UnstoredQuarantines(kStart).empty());
  guard.ApplyStored(RequestFingerprint(8), -1s, kStart);
  BOOST_TEST((guard.SuspicionOf(RequestFingerprint(8), kStart) == Suspicion::kNone));
}

BOOST_AUTO_TEST_CASE(last_trial_uses_the_same_server_at_all_gateways) {
  std::vector<BackendPtr> backends;
  for (int i = 0; i < 20; ++i) {
    backends.push_back(std::make_shared<Backend>(BackendNamed("s" + std::to_string(i))));
  }
  const BackendPtr chosen = TrialBackend(kRequest, backends);
  std::ranges::reverse(backends);
  BOOST_TEST(TrialBackend(kRequest, backends) == chosen);
  chosen->reachable = false;
  BOOST_TEST(TrialBackend(kRequest, backends) != chosen);
}

BOOST_AUTO_TEST_SUITE_END()
