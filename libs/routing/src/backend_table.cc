#include "routing/backend_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace ridgehold {
namespace {

std::uint64_t Hash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::uint64_t PurposeOf(const ModelId& model, const ServiceId& service) {
  return Hash(model.value() + "\n" + service.value());
}

std::uint64_t WeightsHash(const WeightsVersion& weights) {
  return weights.value().empty() ? 0 : Hash(weights.value());
}

/// A selection's texts as hashes, made once for all rows.
struct SelectionHashes {
  std::uint64_t purpose = 0;
  std::uint64_t weights = 0;
};

bool MayTake(const BackendState& row, const SelectionHashes& selection, TimePoint now) {
  if (row.purpose != selection.purpose || !row.present || row.retry_at > now) return false;
  if (row.leaving || row.listed_leaving || row.draining) return false;
  // An engine whose weights are known to be others would only refuse.
  return row.weights_hash == 0 || row.weights_hash == selection.weights;
}

double QueuedTokens(const BackendState& row, TimePoint now) {
  const std::chrono::duration<double> age = now - row.reported;
  const double done_since = age.count() * row.prefill_tokens_per_s;
  return row.own_tokens + std::max(0.0, row.others_tokens - done_since);
}

}  // namespace

BackendTable::BackendTable(ZoneId own_zone, Duration other_zone_distance)
    : own_zone_(std::move(own_zone)), other_zone_distance_(other_zone_distance) {}

std::vector<std::uint32_t> BackendTable::Update(const Config& config) {
  std::vector<std::uint32_t> moved_rows;
  for (BackendState& row : rows_) row.present = config.backends().contains(row.server.id);
  for (const auto& [id, server] : config.backends()) {
    const auto found = index_.find(id);
    if (found != index_.end()) {
      BackendState& row = rows_[found->second];
      // Another address is another server; what was known of it is void.
      const bool moved = row.server.url != server.url;
      TakeServer(row, server);
      if (moved) {
        row.incarnation = {};
        row.weights = {};
        row.weights_hash = 0;
        row.leaving = false;
        moved_rows.push_back(found->second);
      }
      continue;
    }
    BackendState row;
    TakeServer(row, server);
    row.identity = Hash(id.value());
    row.listed_leaving = platform_leaving_.contains(id);
    row.prefill_tokens_per_s = kDefaultPrefillSpeed;
    index_[id] = static_cast<std::uint32_t>(rows_.size());
    rows_.push_back(std::move(row));
  }
  return moved_rows;
}

void BackendTable::TakeServer(BackendState& row, const BackendServer& server) const {
  row.server = server;
  row.draining = server.draining;
  row.purpose = PurposeOf(server.model, server.service);
  row.distance = server.zone == own_zone_ ? Duration{0} : other_zone_distance_;
}

void BackendTable::SetLeaving(const std::set<BackendId>& leaving) {
  if (platform_leaving_ == leaving) return;
  platform_leaving_ = leaving;
  for (BackendState& row : rows_) row.listed_leaving = leaving.contains(row.server.id);
}

bool BackendTable::TakeReport(const BackendId& id, const LoadReport& report, TimePoint now) {
  const auto found = index_.find(id);
  if (found == index_.end()) return false;
  BackendState& row = rows_[found->second];
  const bool void_cache = row.incarnation != report.incarnation || row.weights != report.weights;
  row.incarnation = report.incarnation;
  row.weights = report.weights;
  row.weights_hash = WeightsHash(report.weights);
  row.leaving = report.leaving;
  row.failures = 0;
  row.retry_at = {};
  if (report.prefill_tokens_per_s > 0) row.prefill_tokens_per_s = report.prefill_tokens_per_s;
  row.others_tokens = std::max(0.0, report.waiting_tokens - row.own_tokens);
  row.reported = now;
  return void_cache;
}

void BackendTable::NoteSent(std::uint32_t index, double uncached_tokens) {
  rows_[index].own_tokens += uncached_tokens;
  ++rows_[index].own_running;
}

void BackendTable::NoteFirstToken(std::uint32_t index, double uncached_tokens) {
  rows_[index].own_tokens = std::max(0.0, rows_[index].own_tokens - uncached_tokens);
}

void BackendTable::NoteEnd(std::uint32_t index) { --rows_[index].own_running; }

void BackendTable::NoteFailure(std::uint32_t index, TimePoint now) {
  constexpr std::uint32_t kMaxDoublings = 6;
  BackendState& row = rows_[index];
  const auto factor = 1 << std::min(row.failures, kMaxDoublings);
  ++row.failures;
  row.retry_at = now + std::min(kFirstBackoff * factor, kLongestBackoff);
}

void BackendTable::NoteSuccess(std::uint32_t index) {
  rows_[index].failures = 0;
  rows_[index].retry_at = {};
}

void BackendTable::NoteLeaving(const BackendId& id) {
  const auto found = index_.find(id);
  if (found != index_.end()) rows_[found->second].leaving = true;
}

std::vector<Candidate> BackendTable::Candidates(const Selection& selection, TimePoint now) const {
  const SelectionHashes hashes{PurposeOf(selection.model, selection.service),
                               WeightsHash(selection.weights)};
  std::vector<Candidate> candidates;
  candidates.reserve(rows_.size());
  for (std::uint32_t index = 0; index < rows_.size(); ++index) {
    const BackendState& row = rows_[index];
    if (!MayTake(row, hashes, now)) continue;
    if (!selection.excluded.empty() && selection.excluded.contains(row.server.id)) continue;
    Candidate candidate;
    candidate.index = index;
    candidate.identity = row.identity;
    candidate.distance = row.distance;
    candidate.prefill_tokens_per_s = row.prefill_tokens_per_s;
    candidate.queued_tokens = QueuedTokens(row, now);
    candidate.running = row.own_running;
    candidates.push_back(candidate);
  }
  return candidates;
}

std::optional<std::uint32_t> BackendTable::Find(const BackendId& id) const {
  const auto found = index_.find(id);
  if (found == index_.end()) return std::nullopt;
  return found->second;
}

}  // namespace ridgehold
