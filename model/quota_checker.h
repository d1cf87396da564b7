// Explores what can happen to the messages and holders of a quota, breadth first, and finds
// the shortest way to more than the quota allows.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ridgehold::model {

/// A rule of the protocol that is left out, to see that it is needed.
enum class LeftOut {
  kNothing,
  kLeaseEnds,         ///< a holder goes on after its lease has ended
  kNewTaking,         ///< a holder that takes the share again goes on with its old bucket
  kLateIsVoid,        ///< a grant is used although its holder was given up on and refunded
  kRefundUnusedOnly,  ///< a grant is given back although its request runs
};

/// How much is explored.
struct CheckerBounds {
  std::size_t most_states = 60'000;
  int asks = 3;  ///< requests that clients send
  /// Of the quota; 1 as for a backend server's limit, which one zone grants alone.
  std::uint32_t shares = 2;
  std::size_t clients = 2;
  /// Nothing else happens while messages are on their way, and they go in turn: fewer
  /// ways, and so longer ones. Late ticks are the exception.
  bool one_at_a_time = false;
  int ticks = 6;       ///< steps of time, of 10 ms
  int late_ticks = 2;  ///< of those, steps while messages are on their way
  int losses = 1;      ///< messages that vanish
  int repeats = 1;     ///< messages that come twice
  int restarts = 1;
  int handovers = 2;  ///< times at which another instance takes a share
  int lowerings = 1;  ///< of the quota
  int sleeps = 1;     ///< steps of time that one process does not see
  int patience = 0;   ///< steps of time for which clients ask again that nobody answers

  bool operator==(const CheckerBounds&) const = default;
};

/// What was found.
struct CheckerResult {
  std::size_t states = 0;  ///< different ones
  bool whole = false;      ///< all that the bounds allow was explored
  /// The shortest way to a violation, one step a line; nothing: there is none.
  std::optional<std::vector<std::string>> violation;
};

/// Two availability zones and a quota of a token each 10 ms, with a burst of two: of a
/// workspace, or with one share of a backend server's requests. The classes that run in an
/// instance are explored themselves.
CheckerResult CheckQuota(const CheckerBounds& bounds, LeftOut left_out);

}  // namespace ridgehold::model
