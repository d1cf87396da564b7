// Values in the store about releases and the origins of streams.

#pragma once

#include <optional>
#include <string>

#include "resumption/release_record.h"
#include "resumption/stored_origins.h"

namespace ridgehold {

std::string EncodeReleaseRecord(const ReleaseRecord& record);
/// Returns nullopt if `value` is malformed.
std::optional<ReleaseRecord> DecodeReleaseRecord(const std::string& value);

std::string EncodeOriginBatch(const OriginBatch& batch);
/// Returns nullopt if `value` is malformed.
std::optional<OriginBatch> DecodeOriginBatch(const std::string& value);

}  // namespace ridgehold
