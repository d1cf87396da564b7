// The configuration's history on one daemon: which changes it takes, and in which order.

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/config.h"
#include "ridgehold.pb.h"

namespace ridgehold {

/// What became of an offered change or snapshot.
enum class Offer : std::uint8_t {
  kApplied,   ///< now in force
  kKnown,     ///< was in force before
  kGap,       ///< changes before it are missing
  kDiverged,  ///< belongs to another history; ignored
  kInvalid,   ///< cannot be applied or is damaged; ignored
};

/// Pure state: no clock, no network, not thread-safe. The revision only rises:
/// a change is applied only on the very revision and digest it was made for,
/// and a snapshot only when it is newer.
class ChangeLog {
 public:
  /// How many changes are kept for peers that missed them.
  static constexpr std::size_t kKeptChanges = 1'024;

  ChangeLog();

  Revision revision() const { return Revision(revision_); }
  const std::string& digest() const { return digest_; }
  std::shared_ptr<const Config> config() const { return config_; }

  /// Checks a script against the configuration in force and returns the change
  /// that would make it so; nothing is applied yet.
  Result<wire::ChangeRecord> Propose(const std::string& script, const ChangeId& id,
                                     const std::string& author) const;

  /// Offers a change, from the platform, a peer or this daemon itself.
  Offer Take(const wire::ChangeRecord& record);

  /// Offers a whole configuration.
  Offer Take(const wire::Snapshot& snapshot);

  /// Returns the changes after `revision` without a gap, or nothing when some
  /// are kept no longer.
  std::optional<std::vector<wire::ChangeRecord>> ChangesAfter(Revision revision) const;

  /// Returns the digest that the history had at `revision`, if still known.
  std::optional<std::string> DigestAt(Revision revision) const;

  /// Returns the kept change of this id, or null.
  const wire::ChangeRecord* Find(const ChangeId& id) const;

  wire::Snapshot MakeSnapshot() const;

 private:
  std::uint64_t revision_ = 0;
  std::string digest_;
  std::shared_ptr<const Config> config_;
  std::deque<wire::ChangeRecord> kept_;
};

/// Applies a script to a copy of `base`.
Result<Config> ApplyScript(const Config& base, const std::string& script);

/// The chain digest of a change on top of `previous`.
std::string ChainDigest(const std::string& previous, const std::string& id,
                        const std::string& script);

}  // namespace ridgehold
