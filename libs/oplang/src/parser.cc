#include "oplang/parser.h"

#include <algorithm>
#include <boost/spirit/home/x3.hpp>
#include <string>

#include "words.h"

namespace ridgehold {
namespace {

namespace x3 = boost::spirit::x3;

using Iterator = std::string_view::const_iterator;

struct VerbSymbols : x3::symbols<Verb> {
  VerbSymbols() {
    for (const auto& entry : detail::kVerbWords) add(entry.word, entry.verb);
  }
} const verb_symbols;

struct SubjectSymbols : x3::symbols<const detail::SubjectWord*> {
  SubjectSymbols() {
    for (const auto& entry : detail::kSubjectWords) add(entry.word, &entry);
  }
} const subject_symbols;

const auto kBlank = x3::char_(" \t");
const auto kGap = x3::omit[+kBlank];
const auto kBareChar = x3::char_ - x3::char_(" \t\r\n\";#\\");
const auto kQuotedChar = ('\\' >> x3::char_) | (x3::char_ - x3::char_("\"\\"));

struct QuotedTag;
struct BareTag;
const x3::rule<QuotedTag, std::string> kQuoted = "quoted text";
const x3::rule<BareTag, std::string> kBare = "word";
const auto kQuoted_def = '"' >> *kQuotedChar > '"';
const auto kBare_def = +kBareChar;
BOOST_SPIRIT_DEFINE(kQuoted, kBare)

// A keyword must not run on into the next word.
const auto kWordEnd = !kBareChar;

/// Collects the parts of one statement while the grammar walks over it.
class Builder {
 public:
  explicit Builder(std::string_view line) : line_(line) {}

  Statement Parse() {
    statement_.column = Column(line_.begin());
    Iterator at = line_.begin();
    ParseHead(at);
    ParseAttributes(at);
    return std::move(statement_);
  }

 private:
  int Column(Iterator at) const { return static_cast<int>(at - line_.begin()) + 1; }

  void ParseHead(Iterator& at) {
    const auto set_revision = [this](auto& ctx) { statement_.expected_revision = x3::_attr(ctx); };
    const auto set_verb = [this](auto& ctx) { statement_.verb = x3::_attr(ctx); };
    const auto set_subject = [this](auto& ctx) {
      statement_.subject = x3::_attr(ctx)->subject;
      has_name_ = x3::_attr(ctx)->has_name;
    };
    const auto known_verb = x3::no_case[verb_symbols] >> kWordEnd;
    const auto known_subject = x3::no_case[subject_symbols] >> kWordEnd;
    const auto revision =
        x3::lit("at") >> kGap > x3::lit("revision") > kGap > x3::uint64[set_revision] > kGap;
    const auto head = -revision > x3::expect[known_verb[set_verb]] > kGap >
                      x3::expect[known_subject[set_subject]];
    Expect(at, head);
    if (has_name_) statement_.name = ParseWord(at);
  }

  void ParseAttributes(Iterator& at) {
    x3::parse(at, line_.end(), *kBlank);
    while (at != line_.end()) {
      Attribute attribute;
      attribute.column = Column(at);
      Expect(at, x3::expect[kQuoted | kBare], attribute.name);
      attribute.value = ParseWord(at);
      statement_.attributes.push_back(std::move(attribute));
      x3::parse(at, line_.end(), *kBlank);
    }
  }

  std::string ParseWord(Iterator& at) {
    std::string word;
    Expect(at, x3::expect[kGap] >> x3::expect[kQuoted | kBare], word);
    return word;
  }

  template <class Grammar, class... Attributes>
  void Expect(Iterator& at, const Grammar& grammar, Attributes&... attributes) {
    x3::parse(at, line_.end(), grammar, attributes...);
  }

  std::string_view line_;
  Statement statement_;
  bool has_name_ = false;
};

/// Splits a script into statements; quotes protect `;`, `#` and line ends.
struct Piece {
  std::string_view text;
  int line;
  int column;
};

std::vector<Piece> Split(std::string_view script) {
  std::vector<Piece> pieces;
  const auto quoted = '"' >> *kQuotedChar >> '"';
  const auto body = *(x3::omit[quoted] | x3::omit[x3::char_ - x3::char_("\n;#")]);
  const auto comment = -('#' >> *(x3::char_ - '\n'));
  Iterator at = script.begin();
  int line = 1;
  Iterator line_start = at;
  while (at != script.end()) {
    const Iterator start = at;
    x3::parse(at, script.end(), body);
    const std::string_view text(start, at);
    pieces.push_back({text, line, static_cast<int>(start - line_start) + 1});
    line += static_cast<int>(std::ranges::count(text, '\n'));
    x3::parse(at, script.end(), comment);
    if (at == script.end()) break;
    if (*at == '\n') {
      ++line;
      line_start = at + 1;
    }
    ++at;
  }
  return pieces;
}

std::string_view Trim(std::string_view text, int& column) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  column += static_cast<int>(first);
  const std::size_t last = text.find_last_not_of(" \t\r\n");
  return text.substr(first, last - first + 1);
}

std::string Describe(const Piece& piece, int column, const std::string& wanted) {
  return "line " + std::to_string(piece.line) + ", column " + std::to_string(column) +
         ": expected " + wanted;
}

std::string Readable(const std::string& rule) {
  if (rule.find("SubjectWord") != std::string::npos || rule.find("sequence") != std::string::npos) {
    return "a known word";
  }
  if (rule.find("alternative") != std::string::npos) return "a word";
  if (rule.find("plus") != std::string::npos || rule.find("omit") != std::string::npos) {
    return "another word";
  }
  return rule;
}

}  // namespace

Result<std::vector<Statement>> ParseScript(std::string_view text) {
  std::vector<Statement> statements;
  for (Piece piece : Split(text)) {
    const std::string_view trimmed = Trim(piece.text, piece.column);
    if (trimmed.empty()) continue;
    try {
      Statement statement = Builder(trimmed).Parse();
      statement.line = piece.line;
      statement.column = piece.column;
      for (Attribute& attribute : statement.attributes) attribute.column += piece.column - 1;
      statements.push_back(std::move(statement));
    } catch (const x3::expectation_failure<Iterator>& failure) {
      const int column = piece.column + static_cast<int>(failure.where() - trimmed.begin());
      return Fail(ResultCode::kSyntax, Describe(piece, column, Readable(failure.which())));
    }
  }
  return statements;
}

Result<Statement> ParseStatement(std::string_view text) {
  BOOST_LEAF_AUTO(statements, ParseScript(text));
  if (statements.size() != 1) {
    return Fail(ResultCode::kSyntax, "expected exactly one statement");
  }
  return std::move(statements.front());
}

}  // namespace ridgehold
