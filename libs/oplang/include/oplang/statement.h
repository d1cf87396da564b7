// The operator language's statements, before they are checked against a configuration.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ridgehold {

/// What a statement asks for.
enum class Verb : std::uint8_t {
  kCreate,
  kChange,
  kRemove,
  kDrain,
  kUndrain,
  kShow,
  kExplain,
  kSet,
};

/// What a statement is about.
enum class Subject : std::uint8_t {
  kWorkspace,
  kKey,
  kModel,
  kBackend,
  kRule,
  kRevision,
  kDaemons,
  kWorkspaces,
  kKeys,
  kModels,
  kBackends,
  kRules,
  kRequests,
  kChangeStatus,
  kRoute,
  kLogLevel,
};

/// A name and its value: `share 4`. Columns count from 1.
struct Attribute {
  std::string name;
  std::string value;
  int column = 0;
};

/// One statement: `at revision 7 change workspace clinics share 4`.
struct Statement {
  std::optional<std::uint64_t> expected_revision;
  Verb verb = Verb::kShow;
  Subject subject = Subject::kRevision;
  std::string name;  ///< empty where the subject takes none
  std::vector<Attribute> attributes;
  int line = 1;
  int column = 1;

  /// Returns the attribute of this name, or null.
  const Attribute* Find(std::string_view attribute) const;
};

/// Returns whether the verb changes the configuration.
bool IsChange(Verb verb);

std::string_view ToString(Verb verb);
std::string_view ToString(Subject subject);

/// Writes a statement in the language; parsing it gives the statement back.
std::string Format(const Statement& statement);

}  // namespace ridgehold
