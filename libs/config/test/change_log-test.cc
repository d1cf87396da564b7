#include "config/change_log.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

namespace {

/// The change that creates one more workspace on top of `log`.
wire::ChangeRecord NextChange(const ChangeLog& log, const std::string& id) {
  return ValueOr(
      [&] { return log.Propose("create workspace w-" + id + "\n", ChangeId(id), "test"); },
      [](const Failure&) { return wire::ChangeRecord(); });
}

std::vector<wire::ChangeRecord> MakeHistory(const std::string& name, int length) {
  ChangeLog log;
  std::vector<wire::ChangeRecord> history;
  for (int i = 0; i < length; ++i) {
    history.push_back(NextChange(log, name + std::to_string(i)));
    log.Take(history.back());
  }
  return history;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(change_log)

RC_BOOST_PROP(revision_only_rises_whatever_order_and_age_copies_come_in, ()) {
  const int length = *rc::gen::inRange(1, 12);
  const auto ours = MakeHistory("a", length);
  const auto foreign = MakeHistory("b", length);
  ChangeLog log;
  log.Take(ours.front());
  const auto steps = *rc::gen::inRange(0, 60);
  for (int i = 0; i < steps; ++i) {
    const auto at = static_cast<std::size_t>(*rc::gen::inRange(0, length));
    const bool from_foreign = *rc::gen::weightedElement<bool>({{1, true}, {4, false}});
    const auto before = log.revision();
    const auto digest_before = log.digest();
    const Offer offer = log.Take(from_foreign ? foreign[at] : ours[at]);
    RC_ASSERT(log.revision() >= before);
    RC_ASSERT((offer == Offer::kApplied) == (log.revision() > before));
    RC_ASSERT(offer == Offer::kApplied || log.digest() == digest_before);
    RC_ASSERT(!(from_foreign && offer == Offer::kApplied));
  }
  for (const auto& record : ours) log.Take(record);
  RC_ASSERT(log.revision().value() == static_cast<std::uint64_t>(length));
  RC_ASSERT(log.digest() == ours.back().digest());
  RC_ASSERT(log.config()->workspaces().size() == static_cast<std::size_t>(length));
}

RC_BOOST_PROP(snapshot_and_changes_lead_to_the_same_configuration, ()) {
  const int length = *rc::gen::inRange(1, 12);
  const auto history = MakeHistory("a", length);
  const int cut = *rc::gen::inRange(0, length + 1);
  ChangeLog origin;
  for (int i = 0; i < cut; ++i) origin.Take(history[static_cast<std::size_t>(i)]);
  ChangeLog joiner;
  joiner.Take(origin.MakeSnapshot());
  for (const auto& record : history) {
    origin.Take(record);
    joiner.Take(record);
  }
  RC_ASSERT(joiner.digest() == origin.digest());
  RC_ASSERT(*joiner.config() == *origin.config());
}

RC_BOOST_PROP(damaged_records_are_never_applied, (const std::string& junk)) {
  const auto history = MakeHistory("a", 2);
  ChangeLog log;
  log.Take(history[0]);
  wire::ChangeRecord damaged = history[1];
  damaged.set_script(damaged.script() + junk + "x");
  RC_ASSERT(log.Take(damaged) == Offer::kInvalid);
  RC_ASSERT(log.revision().value() == 1U);
  wire::Snapshot snapshot = log.MakeSnapshot();
  snapshot.set_revision(9);
  snapshot.set_script(snapshot.script() + junk + "x");
  RC_ASSERT(log.Take(snapshot) == Offer::kInvalid);
}

RC_BOOST_PROP(changes_of_any_bytes_survive_the_way_through_store_and_peers, ()) {
  const auto name = *rc::gen::nonEmpty(rc::gen::string<std::string>());
  Statement statement;
  statement.verb = Verb::kCreate;
  statement.subject = Subject::kWorkspace;
  statement.name = name;
  ChangeLog log;
  const auto record = ValueOr([&] { return log.Propose(Format(statement), ChangeId("id"), name); },
                              [](const Failure&) { return wire::ChangeRecord(); });
  wire::ChangeRecord read;
  RC_ASSERT(read.ParseFromString(record.SerializeAsString()));
  RC_ASSERT(log.Take(read) == Offer::kApplied);
  RC_ASSERT(log.config()->workspaces().contains(WorkspaceId(name)));
}

BOOST_AUTO_TEST_CASE(a_gap_is_named_and_changes_after_it_wait) {
  const auto history = MakeHistory("a", 3);
  ChangeLog log;
  BOOST_TEST((log.Take(history[1]) == Offer::kGap));
  BOOST_TEST((log.Take(history[0]) == Offer::kApplied));
  BOOST_TEST((log.Take(history[1]) == Offer::kApplied));
  BOOST_TEST(log.ChangesAfter(Revision(1))->size() == 1U);
  BOOST_TEST(log.DigestAt(Revision(1)).value() == history[0].digest());
}

BOOST_AUTO_TEST_CASE(a_snapshot_ends_what_older_peers_can_be_sent_as_changes) {
  const auto history = MakeHistory("a", 3);
  ChangeLog origin;
  for (const auto& record : history) origin.Take(record);
  ChangeLog joiner;
  joiner.Take(origin.MakeSnapshot());
  BOOST_TEST(!joiner.ChangesAfter(Revision(1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
