// How the configuration lies in the platform's key-value service.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "kv/kv_types.h"
#include "ridgehold.pb.h"

namespace ridgehold {

/// The head key's value: which revision is the newest accepted one.
struct StoredHead {
  std::uint64_t revision = 0;
  std::string digest = "0";

  bool operator==(const StoredHead&) const = default;
};

/// Key names. Changes sort by revision, so that a range read gives a run.
std::string HeadKey();
std::string ChangeKey(std::uint64_t revision);
std::string SnapshotHeadKey();
std::string SnapshotPartKey(std::uint64_t revision, std::size_t part);

std::string FormatHead(const StoredHead& head);

/// An absent value is the empty configuration; an unreadable one gives nothing.
std::optional<StoredHead> ParseHead(const std::optional<std::string>& value);

/// The write that accepts `record` if the store is still at `base`.
KvTransaction AcceptTransaction(const StoredHead& base, const wire::ChangeRecord& record);

/// Splits a snapshot into values that the service takes (1 MB each).
std::vector<std::string> SplitSnapshot(const wire::Snapshot& snapshot);

}  // namespace ridgehold
