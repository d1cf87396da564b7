// The language's words, shared by grammar and formatter.

#pragma once

#include <array>

#include "oplang/statement.h"

namespace ridgehold::detail {

struct VerbWord {
  Verb verb;
  const char* word;
};

struct SubjectWord {
  Subject subject;
  const char* word;
  bool has_name;
};

inline constexpr auto kVerbWords = std::to_array<VerbWord>({
    {Verb::kCreate, "create"},
    {Verb::kChange, "change"},
    {Verb::kRemove, "remove"},
    {Verb::kDrain, "drain"},
    {Verb::kUndrain, "undrain"},
    {Verb::kShow, "show"},
    {Verb::kExplain, "explain"},
    {Verb::kSet, "set"},
});

inline constexpr auto kSubjectWords = std::to_array<SubjectWord>({
    {Subject::kWorkspace, "workspace", true},
    {Subject::kKey, "key", true},
    {Subject::kModel, "model", true},
    {Subject::kBackend, "backend", true},
    {Subject::kRule, "rule", true},
    {Subject::kRevision, "revision", false},
    {Subject::kDaemons, "daemons", false},
    {Subject::kWorkspaces, "workspaces", false},
    {Subject::kKeys, "keys", false},
    {Subject::kModels, "models", false},
    {Subject::kBackends, "backends", false},
    {Subject::kRules, "rules", false},
    {Subject::kRequests, "requests", false},
    {Subject::kChangeStatus, "change", true},
    {Subject::kRoute, "route", false},
    {Subject::kLogLevel, "log-level", true},
});

}  // namespace ridgehold::detail
