// Origins of streams that gateways have written to the store.

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "resumption/stream_origin.h"

namespace ridgehold {

/// Streams by the release that began them.
using OriginBatch = std::map<ReleaseId, std::vector<StreamHash>>;

/// The batches by the key under which they are stored. Not thread-safe.
class StoredOrigins {
 public:
  /// Replaces the batch of `key`.
  void Put(const std::string& key, OriginBatch batch);
  void Remove(const std::string& key) { batches_.erase(key); }
  /// Returns nullopt if the stream is in no batch, or in those of several releases.
  std::optional<ReleaseId> Find(StreamHash stream) const;
  /// Number of streams in all batches.
  std::size_t size() const;

 private:
  std::map<std::string, OriginBatch> batches_;  ///< each with its streams in ascending order
};

}  // namespace ridgehold
