// What a quota applies to.

#pragma once

#include <cstdint>
#include <cstring>
#include <optional>
#include <string>

#include "base/ids.h"

namespace ridgehold {

/// A workspace, whose tokens are counted, or a backend server, whose requests are counted.
using QuotaSubject = Strong<struct QuotaSubjectTag, std::string>;

namespace quota_subject {

/// Prefix of backend server subjects; workspace names cannot begin with it.
inline constexpr char kBackendPrefix = '\x01';

}  // namespace quota_subject

inline QuotaSubject WorkspaceSubject(const WorkspaceId& workspace) {
  return QuotaSubject(workspace.value());
}

/// `backend` is the hash of one incarnation of the backend server.
inline QuotaSubject BackendSubject(std::uint64_t backend) {
  std::string text(1 + sizeof backend, quota_subject::kBackendPrefix);
  std::memcpy(&text[1], &backend, sizeof backend);
  return QuotaSubject(std::move(text));
}

/// Returns the backend server's hash; nullopt for a workspace.
inline std::optional<std::uint64_t> BackendHashOf(const QuotaSubject& subject) {
  const std::string& text = subject.value();
  std::uint64_t backend = 0;
  if (text.size() != 1 + sizeof backend || text.front() != quota_subject::kBackendPrefix) {
    return std::nullopt;
  }
  std::memcpy(&backend, &text[1], sizeof backend);
  return backend;
}

}  // namespace ridgehold
