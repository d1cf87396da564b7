#include "gateway/request_fingerprint.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string_view>

namespace ridgehold {
namespace {

/// Each hash seeds the next, so that moving bytes between adjacent fields changes the result.
std::uint64_t Mix(std::uint64_t seed, std::string_view text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

RequestFingerprint FingerprintOf(const WorkspaceId& workspace, const InboundRequest& inbound,
                                 const RequestMessage& request) {
  const auto method = request.method_string();
  const auto target = request.target();
  std::uint64_t hash = Mix(0, workspace.value());
  hash = Mix(hash, {method.data(), method.size()});
  hash = Mix(hash, inbound.host);
  hash = Mix(hash, {target.data(), target.size()});
  return RequestFingerprint(Mix(hash, request.body()));
}

std::string ToText(RequestFingerprint fingerprint) {
  return fmt::format("{:016x}", fingerprint.value());
}

}  // namespace ridgehold
