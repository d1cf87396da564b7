#include "isolation/cache_scope.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace ridgehold {

std::string OwnCacheScope(const WorkspaceId& workspace) { return "w:" + workspace.value(); }

std::string SharedCacheScope(std::vector<WorkspaceId> isolated) {
  if (isolated.empty()) return "shared";
  std::ranges::sort(isolated);
  isolated.erase(std::unique(isolated.begin(), isolated.end()), isolated.end());
  std::string names;
  for (const WorkspaceId& workspace : isolated) {
    // With their lengths, since names may hold any separator.
    names += std::to_string(workspace.value().size()) + ":" + workspace.value();
  }
  const XXH128_hash_t hash = XXH3_128bits(names.data(), names.size());
  std::array<char, 40> text;
  const int length = std::snprintf(text.data(), text.size(), "shared-%016llx%016llx",
                                   static_cast<unsigned long long>(hash.high64),
                                   static_cast<unsigned long long>(hash.low64));
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace ridgehold
