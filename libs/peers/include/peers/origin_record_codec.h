// Values in the store about releases and the origins of streams.

#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "resumption/release_record.h"
#include "resumption/stored_origins.h"

namespace ridgehold {

std::string EncodeReleaseRecord(const ReleaseRecord& record);
/// Returns nullopt if `value` is malformed.
std::optional<ReleaseRecord> DecodeReleaseRecord(const std::string& value);

/// Far below what the store takes as a value, and room for hundreds of the longest names.
inline constexpr std::size_t kMaxReleaseRecordBytes = std::size_t{64} << 10;

/// Returns `record` without the releases that would make it longer than kMaxReleaseRecordBytes. It
/// is then incomplete: it proves nothing about a release that it does not list.
ReleaseRecord Bounded(ReleaseRecord record);

std::string EncodeOriginBatch(const OriginBatch& batch);
/// Returns nullopt if `value` is malformed.
std::optional<OriginBatch> DecodeOriginBatch(const std::string& value);

}  // namespace ridgehold
