#include "config/stored_config.h"

#include <array>
#include <cstdio>
#include <sstream>

namespace ridgehold {
namespace {

constexpr char kRoot[] = "/ridgehold/config/";
constexpr std::size_t kPartBytes = std::size_t{512} << 10;

std::string Hex16(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return text.data();
}

std::optional<std::string> ToValue(const StoredHead& head) {
  if (head == StoredHead{}) return std::nullopt;
  return FormatHead(head);
}

}  // namespace

std::string HeadKey() { return std::string(kRoot) + "head"; }

std::string ChangeKey(std::uint64_t revision) {
  return std::string(kRoot) + "changes/" + Hex16(revision);
}

std::string SnapshotHeadKey() { return std::string(kRoot) + "snapshot-head"; }

std::string SnapshotPartKey(std::uint64_t revision, std::size_t part) {
  return std::string(kRoot) + "snapshots/" + Hex16(revision) + "/" + Hex16(part);
}

std::string FormatHead(const StoredHead& head) {
  return std::to_string(head.revision) + " " + head.digest;
}

std::optional<StoredHead> ParseHead(const std::optional<std::string>& value) {
  if (!value) return StoredHead{};
  std::istringstream words(*value);
  StoredHead head;
  words >> head.revision >> head.digest;
  if (!words || head.revision == 0) return std::nullopt;
  return head;
}

KvTransaction AcceptTransaction(const StoredHead& base, const wire::ChangeRecord& record) {
  const StoredHead next{record.revision(), record.digest()};
  KvTransaction transaction;
  transaction.compares.push_back({HeadKey(), ToValue(base)});
  transaction.puts.push_back({HeadKey(), FormatHead(next), std::nullopt});
  transaction.puts.push_back(
      {ChangeKey(record.revision()), record.SerializeAsString(), std::nullopt});
  transaction.reads_on_failure = {HeadKey(), ChangeKey(record.revision())};
  return transaction;
}

std::vector<std::string> SplitSnapshot(const wire::Snapshot& snapshot) {
  const std::string bytes = snapshot.SerializeAsString();
  std::vector<std::string> parts;
  for (std::size_t at = 0; at < bytes.size(); at += kPartBytes) {
    parts.push_back(bytes.substr(at, kPartBytes));
  }
  return parts;
}

}  // namespace ridgehold
