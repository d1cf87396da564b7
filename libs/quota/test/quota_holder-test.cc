// Share holders and a client, exchanging messages without a network.

#include "quota/quota_holder.h"

#include <boost/test/unit_test.hpp>

#include "quota/quota_client.h"

namespace ridgehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const QuotaLimits kTerms{1, {100, 100}, {100, 100}};
constexpr char kClient[] = "10.0.0.9";
constexpr char kLenderA[] = "10.0.0.2";
constexpr char kLenderB[] = "10.0.0.3";

/// Holds one of two shares of 100 tokens per second, with an empty bucket at kStart.
QuotaHolder HolderWithHalfShare() {
  QuotaHolder::Options options;
  options.shares = 2;
  QuotaHolder holder(options);
  holder.SetLease(QuotaHolder::Lease{7, kStart});
  return holder;
}

QuotaRequest RequestFor(std::uint64_t number, std::uint64_t tokens, QuotaLimits limits = kTerms) {
  return {{55, number}, QuotaSubject("w"), QuotaScale(2).FromTokens(tokens), false, limits};
}

QuotaReply ReplyIn(const QuotaOutbox& outbox) {
  for (const QuotaOutgoing& outgoing : outbox) {
    if (const auto* reply = std::get_if<QuotaReply>(&outgoing.message)) return *reply;
  }
  BOOST_FAIL("no reply");
  return {};
}

BOOST_AUTO_TEST_SUITE(quota_holder)

BOOST_AUTO_TEST_CASE(share_refills_from_the_start_of_the_lease) {
  QuotaHolder holder = HolderWithHalfShare();
  const auto granted = [&](std::uint64_t number, std::uint64_t tokens, TimePoint at) {
    return ReplyIn(holder.Handle(RequestFor(number, tokens), kClient, at)).verdict ==
           QuotaVerdict::kGranted;
  };
  BOOST_TEST(!granted(1, 10, kStart));
  BOOST_TEST(granted(2, 10, kStart + milliseconds(400)));
  BOOST_TEST(granted(3, 50, kStart + seconds(20)));
  BOOST_TEST(!granted(4, 1, kStart + seconds(20)));
}

BOOST_AUTO_TEST_CASE(a_repeated_request_is_granted_once) {
  QuotaHolder holder = HolderWithHalfShare();
  const TimePoint now = kStart + seconds(5);
  const QuotaOutbox first = holder.Handle(RequestFor(1, 30), kClient, now);
  const QuotaOutbox second = holder.Handle(RequestFor(1, 30), kClient, now);
  BOOST_TEST((first == second));
  BOOST_TEST(
      (ReplyIn(holder.Handle(RequestFor(2, 20), kClient, now)).verdict == QuotaVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(refund_counts_once_and_refuses_a_late_request) {
  QuotaHolder holder = HolderWithHalfShare();
  const TimePoint now = kStart + seconds(5);
  holder.Handle(RequestFor(1, 50), kClient, now);
  holder.Handle(QuotaRefund{{55, 1}}, now);
  holder.Handle(QuotaRefund{{55, 1}}, now);
  BOOST_TEST(
      (ReplyIn(holder.Handle(RequestFor(2, 50), kClient, now)).verdict == QuotaVerdict::kGranted));
  BOOST_TEST(
      (ReplyIn(holder.Handle(RequestFor(3, 1), kClient, now)).verdict == QuotaVerdict::kOverQuota));
  // A refund that arrives before its request.
  holder.Handle(QuotaRefund{{55, 9}}, now + seconds(5));
  const QuotaOutbox late = holder.Handle(RequestFor(9, 1), kClient, now + seconds(5));
  BOOST_TEST((ReplyIn(late).verdict == QuotaVerdict::kOverQuota));
}

BOOST_AUTO_TEST_CASE(missing_tokens_are_borrowed) {
  QuotaHolder holder = HolderWithHalfShare();
  holder.SetLenders({kLenderA});
  QuotaHolder lender = HolderWithHalfShare();
  const TimePoint now = kStart + seconds(5);
  QuotaOutbox sent = holder.Handle(RequestFor(1, 80), kClient, now);
  BOOST_REQUIRE(sent.size() == 1);
  const auto loan = std::get<QuotaRequest>(sent.front().message);
  BOOST_TEST(loan.is_loan);
  BOOST_TEST(loan.amount == QuotaScale(2).FromTokens(30));
  const QuotaReply lent = ReplyIn(lender.Handle(loan, "10.0.0.1", now));
  BOOST_TEST((ReplyIn(holder.Handle(lent, now)).verdict == QuotaVerdict::kGranted));
  // Each share is reduced by exactly what was granted.
  BOOST_TEST(
      (ReplyIn(lender.Handle(RequestFor(2, 20), kClient, now)).verdict == QuotaVerdict::kGranted));
  // A refund returns the loan to the lender.
  sent = holder.Handle(QuotaRefund{{55, 1}}, now);
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_TEST((sent.front() == QuotaOutgoing{kLenderA, QuotaRefund{loan.id}}));
}

BOOST_AUTO_TEST_CASE(insufficient_loan_is_returned_at_once) {
  QuotaHolder holder = HolderWithHalfShare();
  holder.SetLenders({kLenderA});
  const TimePoint now = kStart + milliseconds(200);
  const QuotaOutbox sent = holder.Handle(RequestFor(1, 80), kClient, now);
  const auto loan = std::get<QuotaRequest>(sent.front().message);
  const QuotaOutbox after =
      holder.Handle(QuotaReply{loan.id, QuotaVerdict::kGranted, QuotaScale(2).FromTokens(10)}, now);
  BOOST_REQUIRE(after.size() == 2);
  BOOST_TEST((after.front() == QuotaOutgoing{kLenderA, QuotaRefund{loan.id}}));
  const QuotaReply refused = ReplyIn(after);
  BOOST_TEST((refused.verdict == QuotaVerdict::kOverQuota));
  // Refilling the missing 60 tokens takes 600 ms at 100 tokens per second.
  BOOST_TEST(refused.retry_after.count() >= 600'000);
  BOOST_TEST(refused.retry_after.count() < 610'000);
  // The shortage is cached, so later requests are refused without asking a lender.
  const QuotaOutbox next = holder.Handle(RequestFor(2, 80), kClient, now);
  BOOST_TEST(next.size() == 1);
  BOOST_TEST((ReplyIn(next).retry_after > refused.retry_after));
}

BOOST_AUTO_TEST_CASE(unresponsive_lender_is_skipped) {
  QuotaHolder holder = HolderWithHalfShare();
  holder.SetLenders({kLenderA, kLenderB});
  const TimePoint now = kStart + seconds(5);
  QuotaOutbox sent = holder.Handle(RequestFor(1, 80), kClient, now);
  const std::string silent = sent.front().to;
  const auto lost = std::get<QuotaRequest>(sent.front().message);
  BOOST_TEST(holder.Tick(now + milliseconds(1)).empty());
  sent = holder.Tick(*holder.NextTick());
  BOOST_REQUIRE(sent.size() == 2);
  BOOST_TEST((sent.front() == QuotaOutgoing{silent, QuotaRefund{lost.id}}));
  BOOST_TEST(sent.back().to != silent);
  const auto loan = std::get<QuotaRequest>(sent.back().message);
  // The late reply of the first lender is ignored.
  BOOST_TEST(holder.Handle(QuotaReply{lost.id, QuotaVerdict::kGranted, lost.amount}, now).empty());
  const QuotaReply lent{loan.id, QuotaVerdict::kGranted, loan.amount};
  BOOST_TEST((ReplyIn(holder.Handle(lent, now)).verdict == QuotaVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(grants_need_a_lease_and_a_new_lease_starts_empty) {
  QuotaHolder holder = HolderWithHalfShare();
  const TimePoint now = kStart + seconds(5);
  holder.SetLease(std::nullopt);
  BOOST_TEST(
      (ReplyIn(holder.Handle(RequestFor(1, 1), kClient, now)).verdict == QuotaVerdict::kNotHolder));
  holder.SetLease(QuotaHolder::Lease{7, kStart});  // late renewal; no other instance held the lease
  BOOST_TEST(
      (ReplyIn(holder.Handle(RequestFor(2, 1), kClient, now)).verdict == QuotaVerdict::kGranted));
  holder.SetLease(QuotaHolder::Lease{9, now});
  BOOST_TEST(
      (ReplyIn(holder.Handle(RequestFor(3, 1), kClient, now)).verdict == QuotaVerdict::kOverQuota));
}

BOOST_AUTO_TEST_CASE(newest_limits_apply) {
  QuotaHolder holder = HolderWithHalfShare();
  const TimePoint now = kStart + seconds(5);
  holder.Handle(RequestFor(1, 1, {2, {20, 20}, {20, 20}}), kClient, now);
  BOOST_TEST((ReplyIn(holder.Handle(RequestFor(2, 12), kClient, now)).verdict ==
              QuotaVerdict::kOverQuota));
  BOOST_TEST(
      (ReplyIn(holder.Handle(RequestFor(3, 30), kClient, now)).verdict == QuotaVerdict::kTooLarge));
  // A raised quota refills at the new rate from here on.
  holder.Handle(RequestFor(4, 1, {3, {100, 100}, {100, 100}}), kClient, now);
  BOOST_TEST((ReplyIn(holder.Handle(RequestFor(5, 40), kClient, now + seconds(1))).verdict ==
              QuotaVerdict::kGranted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(quota_client)

QuotaClient ClientOf(std::string own, std::vector<std::string> others) {
  QuotaClient client({}, 55);
  client.SetHolders(std::move(own), std::move(others));
  return client;
}

const QuotaDemand kDemand{QuotaSubject("w"), 10, kTerms};

BOOST_AUTO_TEST_CASE(own_holder_is_asked_twice_then_another) {
  QuotaClient client = ClientOf(kLenderA, {kLenderB});
  QuotaOutbox sent;
  const std::uint64_t number = client.Start(kDemand, kStart, sent);
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_TEST(sent.front().to == kLenderA);
  const auto first = std::get<QuotaRequest>(sent.front().message);
  const QuotaOutbox again = client.Tick(number, kStart + milliseconds(12));
  BOOST_TEST((again == sent));
  const QuotaOutbox other = client.Tick(number, kStart + milliseconds(36));
  BOOST_REQUIRE(other.size() == 2);
  BOOST_TEST((other.front() == QuotaOutgoing{kLenderA, QuotaRefund{first.id}}));
  BOOST_TEST(other.back().to == kLenderB);
  // The late grant of the first holder is ignored.
  client.Handle(QuotaReply{first.id, QuotaVerdict::kGranted, first.amount}, kLenderA,
                kStart + milliseconds(40));
  BOOST_TEST(!client.TakeOutcome(number).has_value());
  const auto second = std::get<QuotaRequest>(other.back().message);
  client.Handle(QuotaReply{second.id, QuotaVerdict::kGranted, second.amount}, kLenderB,
                kStart + milliseconds(41));
  const auto outcome = client.TakeOutcome(number);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->verdict == QuotaVerdict::kGranted));
  BOOST_TEST(outcome->ticket.holder == kLenderB);
}

BOOST_AUTO_TEST_CASE(without_holders_acquisition_fails_at_once) {
  QuotaClient client = ClientOf("", {});
  QuotaOutbox sent;
  const std::uint64_t number = client.Start(kDemand, kStart, sent);
  BOOST_TEST(sent.empty());
  const auto outcome = client.TakeOutcome(number);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->verdict == QuotaVerdict::kNotHolder));
}

BOOST_AUTO_TEST_CASE(partitioned_instance_fails_fast) {
  QuotaClient client = ClientOf(kLenderA, {kLenderB});
  QuotaOutbox sent;
  TimePoint now = kStart;
  const auto ask = [&] {
    const TimePoint began = now;
    const std::uint64_t number = client.Start(kDemand, now, sent);
    while (!client.TakeOutcome(number)) {
      now = client.NextTick(number);
      client.Tick(number, now);
    }
    return now - began;
  };
  BOOST_TEST((ask() == milliseconds(72)));
  BOOST_TEST((ask() == milliseconds(36)));
}

/// A demand with a deadline of 100 ms, and of 3 s while holders are recovering.
QuotaDemand PatientDemand(TimePoint now) {
  QuotaDemand demand = kDemand;
  demand.deadline = now + milliseconds(100);
  demand.recovery_deadline = now + seconds(3);
  return demand;
}

/// Ticks until the acquisition ends, or until `end`, without any replies.
std::optional<QuotaOutcome> TickWithoutReplies(QuotaClient& client, std::uint64_t number,
                                               TimePoint end) {
  for (TimePoint now = client.NextTick(number); now < end; now = client.NextTick(number)) {
    client.Tick(number, now);
    if (auto outcome = client.TakeOutcome(number)) return outcome;
  }
  return std::nullopt;
}

QuotaRequest RequestIn(const QuotaOutbox& outbox) {
  BOOST_REQUIRE(!outbox.empty());
  return std::get<QuotaRequest>(outbox.back().message);
}

/// All holders are killed at kStart and restart 1.5 s later.
struct HolderOutage {
  QuotaClient client = ClientOf(kLenderA, {kLenderB});
  TimePoint back = kStart + milliseconds(1'500);
  std::uint64_t number = 0;
  QuotaRequest asked;

  HolderOutage() {
    QuotaOutbox sent;
    number = client.Start(PatientDemand(kStart), kStart, sent);
    BOOST_TEST(!TickWithoutReplies(client, number, back).has_value());
    sent.clear();
    while (sent.empty() || !std::holds_alternative<QuotaRequest>(sent.back().message)) {
      back = client.NextTick(number);
      sent = client.Tick(number, back);
    }
    asked = RequestIn(sent);
  }

  void Answer(QuotaVerdict verdict, Duration retry_after = {}) {
    client.Handle(QuotaReply{asked.id, verdict, asked.amount, retry_after}, kLenderA, back);
  }
};

BOOST_FIXTURE_TEST_CASE(requests_wait_for_restarting_holders, HolderOutage) {
  Answer(QuotaVerdict::kGranted);
  const auto outcome = client.TakeOutcome(number);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->verdict == QuotaVerdict::kGranted));
}

BOOST_FIXTURE_TEST_CASE(long_outage_is_not_waited_for, HolderOutage) {
  const TimePoint takeover = kStart + seconds(2) + milliseconds(200);
  BOOST_TEST(TickWithoutReplies(client, number, takeover).has_value());
  QuotaOutbox sent;
  const std::uint64_t later = client.Start(PatientDemand(takeover), takeover, sent);
  // The deadline, plus a round that may have begun just before.
  BOOST_TEST(TickWithoutReplies(client, later, takeover + milliseconds(100 + 2 * 36)).has_value());
}

// Restarted holders have empty buckets, so a refusal must not be reported as over quota.
BOOST_FIXTURE_TEST_CASE(restarted_holders_are_asked_again, HolderOutage) {
  Answer(QuotaVerdict::kOverQuota, milliseconds(300));
  BOOST_TEST(!client.TakeOutcome(number).has_value());
  BOOST_TEST((client.NextTick(number) == back + milliseconds(300)));
  // A reply to the previous request is ignored.
  Answer(QuotaVerdict::kGranted);
  BOOST_TEST(!client.TakeOutcome(number).has_value());
  back = client.NextTick(number);
  asked = RequestIn(client.Tick(number, back));
  // Beyond the caller's deadline.
  Answer(QuotaVerdict::kOverQuota, seconds(2));
  const auto outcome = client.TakeOutcome(number);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->verdict == QuotaVerdict::kOverQuota));
}

void CheckRefusedAtOnce(QuotaClient& client, TimePoint now) {
  QuotaOutbox sent;
  const std::uint64_t number = client.Start(PatientDemand(now), now, sent);
  const QuotaReply refusal{RequestIn(sent).id, QuotaVerdict::kOverQuota, 0, milliseconds(50)};
  client.Handle(refusal, kLenderA, now + milliseconds(1));
  BOOST_TEST(client.TakeOutcome(number).has_value());
}

BOOST_AUTO_TEST_CASE(over_quota_is_refused_at_once) {
  QuotaClient client = ClientOf(kLenderA, {kLenderB});
  CheckRefusedAtOnce(client, kStart);
}

BOOST_AUTO_TEST_CASE(over_quota_is_refused_at_once_after_a_short_outage) {
  QuotaClient client = ClientOf(kLenderA, {kLenderB});
  QuotaOutbox sent;
  const std::uint64_t number = client.Start(PatientDemand(kStart), kStart, sent);
  BOOST_TEST(!TickWithoutReplies(client, number, kStart + milliseconds(150)).has_value());
  CheckRefusedAtOnce(client, kStart + milliseconds(150));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ridgehold
