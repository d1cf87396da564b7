// What a quota is of.

#pragma once

#include <cstdint>
#include <cstring>
#include <optional>
#include <string>

#include "base/ids.h"

namespace ridgehold {

/// A workspace, whose tokens are counted, or a backend server, whose requests are.
using QuotaSubject = Strong<struct QuotaSubjectTag, std::string>;

namespace quota_subject {

/// No workspace's name begins with it.
inline constexpr char kBackendMark = '\x01';

}  // namespace quota_subject

inline QuotaSubject SubjectOf(const WorkspaceId& workspace) {
  return QuotaSubject(workspace.value());
}

/// `backend` is the hash that stands for one incarnation.
inline QuotaSubject SubjectOfBackend(std::uint64_t backend) {
  std::string text(1 + sizeof backend, quota_subject::kBackendMark);
  std::memcpy(&text[1], &backend, sizeof backend);
  return QuotaSubject(std::move(text));
}

/// The backend server's hash; nothing for a workspace.
inline std::optional<std::uint64_t> BackendIn(const QuotaSubject& subject) {
  const std::string& text = subject.value();
  std::uint64_t backend = 0;
  if (text.size() != 1 + sizeof backend || text.front() != quota_subject::kBackendMark) {
    return std::nullopt;
  }
  std::memcpy(&backend, &text[1], sizeof backend);
  return backend;
}

}  // namespace ridgehold
