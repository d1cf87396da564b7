#include "routing/backend_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace ridgehold {

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
      row.server = server;
      if (moved) {
        row.incarnation = {};
        row.leaving = false;
        moved_rows.push_back(found->second);
      }
      continue;
    }
    BackendState row;
    row.server = server;
    row.identity = XXH3_64bits(id.value().data(), id.value().size());
    row.prefill_tokens_per_s = kDefaultPrefillSpeed;
    index_[id] = static_cast<std::uint32_t>(rows_.size());
    rows_.push_back(std::move(row));
  }
  return moved_rows;
}

void BackendTable::SetLeaving(const std::set<BackendId>& leaving) { platform_leaving_ = leaving; }

bool BackendTable::TakeReport(const BackendId& id, const LoadReport& report, TimePoint now) {
  const auto found = index_.find(id);
  if (found == index_.end()) return false;
  BackendState& row = rows_[found->second];
  const bool void_cache = row.incarnation != report.incarnation || row.weights != report.weights;
  row.incarnation = report.incarnation;
  row.weights = report.weights;
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
  std::vector<Candidate> candidates;
  for (std::uint32_t index = 0; index < rows_.size(); ++index) {
    const BackendState& row = rows_[index];
    if (!MayTake(row, selection, now)) continue;
    Candidate candidate;
    candidate.index = index;
    candidate.identity = row.identity;
    candidate.distance = row.server.zone == own_zone_ ? Duration{0} : other_zone_distance_;
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

bool BackendTable::MayTake(const BackendState& row, const Selection& selection,
                           TimePoint now) const {
  const BackendServer& server = row.server;
  if (!row.present || server.draining || row.leaving) return false;
  if (platform_leaving_.contains(server.id) || selection.excluded.contains(server.id)) return false;
  if (server.model != selection.model || server.service != selection.service) return false;
  if (row.retry_at > now) return false;
  // An engine whose weights are known to be others would only refuse.
  return !server.is_engine() || row.weights.value().empty() || row.weights == selection.weights;
}

double BackendTable::QueuedTokens(const BackendState& row, TimePoint now) const {
  const std::chrono::duration<double> age = now - row.reported;
  const double done_since = age.count() * row.prefill_tokens_per_s;
  return row.own_tokens + std::max(0.0, row.others_tokens - done_since);
}

}  // namespace ridgehold
