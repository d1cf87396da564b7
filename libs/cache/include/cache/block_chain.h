// A prompt's identity for caching: a chain of block hashes, seeded by who may reuse it.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace ridgehold {

/// Bytes of prompt text a block covers, and the tokens that stand for them.
/// docs/BACKEND-PROTOCOL.md makes both part of the protocol.
inline constexpr std::size_t kBlockBytes = 256;
inline constexpr std::size_t kBytesPerToken = 4;
inline constexpr std::size_t kBlockTokens = kBlockBytes / kBytesPerToken;

/// The hash of a block and of all blocks before it.
using BlockHash = std::uint64_t;

/// What must be equal for two prompts to share cache entries.
struct CacheScope {
  WorkspaceId workspace;
  ModelId model;
  WeightsVersion weights;
};

/// Returns the salt sent to engines: 16 hexadecimal digits, different for
/// every scope.
std::string CacheSalt(const CacheScope& scope);

/// Returns the hashes of the whole blocks of `text`; a last, partial block has
/// none. Equal prefixes under one salt give equal hashes, and no others do but
/// by a collision of XXH3's 64 bits.
std::vector<BlockHash> HashBlocks(std::string_view text, std::string_view salt);

/// Returns the tokens that `text` counts for.
std::size_t CountTokens(std::string_view text);

}  // namespace ridgehold
