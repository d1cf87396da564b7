#include "resumption/stored_origins.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

void StoredOrigins::Put(const std::string& key, OriginBatch batch) {
  for (auto& [release, streams] : batch) std::ranges::sort(streams);
  batches_[key] = std::move(batch);
}

std::optional<ReleaseId> StoredOrigins::Find(StreamHash stream) const {
  std::optional<ReleaseId> found;
  for (const auto& [key, batch] : batches_) {
    for (const auto& [release, streams] : batch) {
      if (!std::ranges::binary_search(streams, stream)) continue;
      if (found && *found != release) return std::nullopt;
      found = release;
    }
  }
  return found;
}

std::size_t StoredOrigins::size() const {
  std::size_t size = 0;
  for (const auto& [key, batch] : batches_) {
    for (const auto& [release, streams] : batch) size += streams.size();
  }
  return size;
}

}  // namespace ridgehold
