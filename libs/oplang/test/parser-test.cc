#include "oplang/parser.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

namespace {

std::string FaultOf(const std::string& text) {
  const auto failure = FailureOf([&] { return ParseScript(text); });
  return failure ? failure->detail : "";
}

std::vector<Statement> Parsed(const std::string& text) {
  return ValueOr([&] { return ParseScript(text); },
                 [](const Failure&) { return std::vector<Statement>(); });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(parser)

BOOST_AUTO_TEST_CASE(a_whole_statement_is_read) {
  const auto statements = Parsed("at revision 7 change workspace \"night shift\" share 4");
  BOOST_TEST(statements.size() == 1U);
  const Statement& statement = statements.front();
  BOOST_TEST(statement.expected_revision.value() == 7U);
  BOOST_TEST((statement.verb == Verb::kChange && statement.subject == Subject::kWorkspace));
  BOOST_TEST(statement.name == "night shift");
  BOOST_TEST(statement.Find("share")->value == "4");
  BOOST_TEST(statement.Find("share")->column == 46);
}

BOOST_AUTO_TEST_CASE(statements_are_parted_by_lines_and_semicolons) {
  const auto statements =
      Parsed("# setup\nshow revision; show rules # both\n\nshow change \"a;b#c\"\n");
  BOOST_TEST(statements.size() == 3U);
  BOOST_TEST(statements[2].name == "a;b#c");
  BOOST_TEST(statements[2].line == 4);
}

BOOST_AUTO_TEST_CASE(errors_point_at_line_and_column) {
  BOOST_TEST(FaultOf("show nonsense").starts_with("line 1, column 6: expected"));
  BOOST_TEST(FaultOf("show rules\n  creat key x").starts_with("line 2, column 3: expected"));
  BOOST_TEST(FaultOf("create workspace").starts_with("line 1, column 17: expected"));
  BOOST_TEST(FaultOf("create workspace a share").starts_with("line 1, column 25: expected"));
  BOOST_TEST(FaultOf("at revision x show rules").starts_with("line 1, column 13: expected"));
  BOOST_TEST(FaultOf("show changes").starts_with("line 1, column 6: expected"));
  BOOST_TEST(FaultOf("create workspace \"open").starts_with("line 1, column "));
}

RC_BOOST_PROP(arbitrary_bytes_never_crash, (const std::string& text)) {
  FaultOf(text);
  FaultOf("create workspace " + text);
}

RC_BOOST_PROP(what_is_formatted_is_read_back_the_same, ()) {
  // A statement may hold any text but the line end, which parts statements
  // only outside of quotes.
  Statement statement;
  statement.verb = *rc::gen::element(Verb::kCreate, Verb::kChange, Verb::kRemove, Verb::kDrain);
  statement.subject = *rc::gen::element(Subject::kWorkspace, Subject::kKey, Subject::kModel,
                                        Subject::kBackend, Subject::kRule);
  const auto word = rc::gen::nonEmpty(rc::gen::string<std::string>());
  statement.name = *word;
  const auto count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) statement.attributes.push_back({*word, *word, 0});
  if (*rc::gen::arbitrary<bool>())
    statement.expected_revision = *rc::gen::arbitrary<std::uint64_t>();
  const auto read = Parsed(Format(statement));
  RC_ASSERT(read.size() == 1U);
  RC_ASSERT(Format(read.front()) == Format(statement));
  RC_ASSERT(read.front().name == statement.name);
}

BOOST_AUTO_TEST_SUITE_END()
