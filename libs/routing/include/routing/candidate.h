// A backend server as a routing decision sees it.

#pragma once

#include <chrono>
#include <cstdint>
#include <span>

#include "base/ids.h"
#include "cache/block_chain.h"

namespace ridgehold {

/// One backend server that could take the request.
struct Candidate {
  std::uint32_t index = 0;     ///< position in the backend table
  std::uint64_t identity = 0;  ///< hash of the backend server's id, equal on all daemons
  Duration distance{0};        ///< extra time to its availability zone
  double prefill_tokens_per_s = 1;
  double queued_tokens = 0;         ///< prompt tokens expected to be prefilled before
  std::uint32_t running = 0;        ///< streams this daemon has there
  std::uint32_t cached_blocks = 0;  ///< predicted hit, from the chain's start
};

/// The request as a routing decision sees it.
struct RouteQuery {
  std::span<const BlockHash> chain;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t sequence = 0;  ///< differs for each request of a daemon
};

/// Time to first token that a candidate is expected to need.
struct Expectation {
  Duration wait{0};     ///< prefill of others ahead
  Duration prefill{0};  ///< prefill of what is not cached
  Duration distance{0};

  Duration total() const { return wait + prefill + distance; }
};

/// Returns the expectation for `candidate`.
Expectation Expect(const RouteQuery& query, const Candidate& candidate);

}  // namespace ridgehold
