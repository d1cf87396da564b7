// What a daemon knows of each backend server: address, health, load, own work there.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "config/config.h"
#include "routing/candidate.h"

namespace ridgehold {

/// An engine's own report of its load.
struct LoadReport {
  Incarnation incarnation;
  WeightsVersion weights;
  double waiting_tokens = 0;
  double prefill_tokens_per_s = 0;
  bool leaving = false;
};

/// One row. What each decision reads stands first and together, without text.
struct BackendState {
  std::uint64_t identity = 0;      ///< hash of the id
  std::uint64_t purpose = 0;       ///< hash of model and service
  std::uint64_t weights_hash = 0;  ///< 0: weights not known, or a plain service
  double prefill_tokens_per_s = 0;
  double own_tokens = 0;     ///< uncached prompt tokens sent and not yet prefilled
  double others_tokens = 0;  ///< waiting tokens of others, at `reported`
  TimePoint reported{};
  TimePoint retry_at{};  ///< after failures: not chosen before
  Duration distance{0};
  std::uint32_t own_running = 0;
  std::uint32_t failures = 0;   ///< in a row
  bool present = true;          ///< still in the configuration
  bool leaving = false;         ///< as the server itself says
  bool draining = false;        ///< as the configuration says
  bool listed_leaving = false;  ///< as the platform or a peer says

  BackendServer server;
  Incarnation incarnation;  ///< empty: not known yet
  WeightsVersion weights;
};

/// What must hold for a row to be chosen.
struct Selection {
  ModelId model;
  ServiceId service;
  WeightsVersion weights;
  std::set<BackendId> excluded;
};

/// Not thread-safe; time comes in as a value.
class BackendTable {
 public:
  /// Assumed until an engine reports its speed.
  static constexpr double kDefaultPrefillSpeed = 8'000;
  static constexpr Duration kFirstBackoff{100'000};
  static constexpr Duration kLongestBackoff{5'000'000};

  BackendTable(ZoneId own_zone, Duration other_zone_distance);

  /// Takes over what the configuration says. Removed rows are kept for
  /// requests that still run there. Returns the rows whose address changed:
  /// what was cached there before is void.
  std::vector<std::uint32_t> Update(const Config& config);

  /// Backend servers the platform lists as leaving.
  void SetLeaving(const std::set<BackendId>& leaving);

  /// An engine's report; returns whether what was cached there before is void,
  /// because the incarnation or the weights are others.
  bool TakeReport(const BackendId& id, const LoadReport& report, TimePoint now);

  /// A request with so many uncached tokens goes there, or has its first
  /// token, or has ended.
  void NoteSent(std::uint32_t index, double uncached_tokens);
  void NoteFirstToken(std::uint32_t index, double uncached_tokens);
  void NoteEnd(std::uint32_t index);

  /// No connection, or it broke: not chosen until a backoff is over.
  void NoteFailure(std::uint32_t index, TimePoint now);
  void NoteSuccess(std::uint32_t index);

  /// The backend server itself said that it is leaving.
  void NoteLeaving(const BackendId& id);

  /// Rows that may take the request now; `cached_blocks` is left at 0.
  std::vector<Candidate> Candidates(const Selection& selection, TimePoint now) const;

  const BackendState& at(std::uint32_t index) const { return rows_[index]; }
  std::optional<std::uint32_t> Find(const BackendId& id) const;
  std::size_t size() const { return rows_.size(); }

 private:
  void TakeServer(BackendState& row, const BackendServer& server) const;

  ZoneId own_zone_;
  Duration other_zone_distance_;
  std::vector<BackendState> rows_;
  std::map<BackendId, std::uint32_t> index_;
  std::set<BackendId> platform_leaving_;
};

}  // namespace ridgehold
