// How much a workspace may use, as the operator's configuration says.

#pragma once

#include <cstdint>
#include <optional>

namespace ridgehold {

/// What a quota counts.
enum class QuotaUnit : std::uint8_t { kRequests, kTokens };

/// A rate with a burst, over all instances together. Tokens stand for requests
/// where the unit is one.
struct WorkspaceQuota {
  QuotaUnit unit = QuotaUnit::kRequests;
  std::uint64_t rate = 0;   ///< tokens a second
  std::uint64_t burst = 0;  ///< tokens beyond the rate, after a rest
  /// What a request costs that does not say how many tokens it has.
  std::uint64_t uncounted_tokens = 0;

  /// What a request costs; `tokens` are those of its prompt and the most it may
  /// generate, none if it does not say.
  std::uint64_t CostOf(std::optional<std::uint64_t> tokens) const {
    return unit == QuotaUnit::kRequests ? 1 : tokens.value_or(uncounted_tokens);
  }
};

/// A quota as of one version of the configuration. Instances hear of a version at
/// different moments; the newest that anybody has named holds.
struct QuotaTerms {
  std::uint64_t config_version = 0;
  std::uint64_t rate = 0;
  std::uint64_t burst = 0;

  bool operator==(const QuotaTerms&) const = default;
};

}  // namespace ridgehold
