#include "peers/origin_record_codec.h"

#include <algorithm>

#include "gateway.pb.h"

namespace ridgehold {

std::string EncodeReleaseRecord(const ReleaseRecord& record) {
  wire::ReleaseRecord message;
  for (const ReleaseId& release : record.releases) message.add_releases(release.value());
  message.set_complete(record.complete);
  return message.SerializeAsString();
}

std::optional<ReleaseRecord> DecodeReleaseRecord(const std::string& value) {
  wire::ReleaseRecord message;
  if (!message.ParseFromString(value)) return std::nullopt;
  ReleaseRecord record;
  for (const std::string& release : message.releases()) record.releases.insert(ReleaseId(release));
  record.complete = message.complete();
  return record;
}

ReleaseRecord Bounded(ReleaseRecord record) {
  // Of each release: tag and length.
  constexpr std::size_t kOverhead = 4;
  std::size_t bytes = 0;
  const auto beyond = std::ranges::find_if(record.releases, [&](const ReleaseId& release) {
    bytes += release.value().size() + kOverhead;
    return bytes > kMaxReleaseRecordBytes;
  });
  if (beyond == record.releases.end()) return record;
  record.releases.erase(beyond, record.releases.end());
  record.complete = false;
  return record;
}

std::string EncodeOriginBatch(const OriginBatch& batch) {
  wire::OriginBatch message;
  for (const auto& [release, streams] : batch) {
    wire::ReleaseStreams& body = *message.add_releases();
    body.set_release(release.value());
    for (const StreamHash stream : streams) body.add_streams(stream.value());
  }
  return message.SerializeAsString();
}

std::optional<OriginBatch> DecodeOriginBatch(const std::string& value) {
  wire::OriginBatch message;
  if (!message.ParseFromString(value)) return std::nullopt;
  OriginBatch batch;
  for (const wire::ReleaseStreams& body : message.releases()) {
    std::vector<StreamHash>& streams = batch[ReleaseId(body.release())];
    for (const std::uint64_t stream : body.streams()) streams.push_back(StreamHash(stream));
  }
  return batch;
}

}  // namespace ridgehold
