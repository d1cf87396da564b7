#include "oplang/statement.h"

#include <algorithm>

#include "words.h"

namespace ridgehold {
namespace {

bool IsBare(std::string_view word) {
  return !word.empty() && std::ranges::all_of(word, [](unsigned char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != ';' && c != '#' && c != '\\';
  });
}

std::string Quote(std::string_view word) {
  if (IsBare(word)) return std::string(word);
  std::string quoted = "\"";
  for (const char c : word) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + "\"";
}

}  // namespace

const Attribute* Statement::Find(std::string_view attribute) const {
  const auto found = std::ranges::find(attributes, attribute, &Attribute::name);
  return found == attributes.end() ? nullptr : &*found;
}

bool IsChange(Verb verb) {
  return verb != Verb::kShow && verb != Verb::kExplain && verb != Verb::kSet;
}

std::string_view ToString(Verb verb) {
  return std::ranges::find(detail::kVerbWords, verb, &detail::VerbWord::verb)->word;
}

std::string_view ToString(Subject subject) {
  return std::ranges::find(detail::kSubjectWords, subject, &detail::SubjectWord::subject)->word;
}

std::string Format(const Statement& statement) {
  std::string text;
  if (statement.expected_revision) {
    text += "at revision " + std::to_string(*statement.expected_revision) + " ";
  }
  text += std::string(ToString(statement.verb)) + " " + std::string(ToString(statement.subject));
  if (!statement.name.empty()) text += " " + Quote(statement.name);
  for (const Attribute& attribute : statement.attributes) {
    text += " " + Quote(attribute.name) + " " + Quote(attribute.value);
  }
  return text;
}

}  // namespace ridgehold
