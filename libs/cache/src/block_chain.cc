#include "cache/block_chain.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace ridgehold {

std::string CacheSalt(const CacheScope& scope) {
  // Each part is preceded by its length, so that no two scopes read alike.
  std::string text;
  for (const std::string& part :
       {scope.workspace.value(), scope.model.value(), scope.weights.value()}) {
    text += std::to_string(part.size()) + ":" + part;
  }
  std::array<char, 17> hex{};
  std::snprintf(hex.data(), hex.size(), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return hex.data();
}

std::vector<BlockHash> HashBlocks(std::string_view text, std::string_view salt) {
  std::vector<BlockHash> chain;
  chain.reserve(text.size() / kBlockBytes);
  BlockHash parent = XXH3_64bits(salt.data(), salt.size());
  for (std::size_t at = 0; at + kBlockBytes <= text.size(); at += kBlockBytes) {
    parent = XXH3_64bits_withSeed(text.data() + at, kBlockBytes, parent);
    chain.push_back(parent);
  }
  return chain;
}

std::size_t CountTokens(std::string_view text) {
  return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

}  // namespace ridgehold
