#include "crash/request_features.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace ridgehold {
namespace {

std::uint64_t Mix(std::uint64_t seed, std::uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

std::uint64_t Mix(std::uint64_t seed, std::string_view text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Keeps fingerprints of parts apart from those of contents.
constexpr std::uint64_t kPartSeed = 0x70617274;

}  // namespace

RequestFingerprint PartFingerprint(const ModelId& model, std::uint64_t part) {
  return RequestFingerprint(Mix(Mix(kPartSeed, model.value()), part));
}

PartFeature FeatureOf(RequestFingerprint anywhere, WorkspaceHash workspace) {
  return {anywhere, RequestFingerprint(Mix(workspace, anywhere.value()))};
}

void RequestFeatures::AddParts(const ModelId& model, std::span<const std::uint64_t> ids) {
  for (const std::uint64_t id : ids) {
    if (parts.size() >= kMaxParts) return;
    const PartFeature part = FeatureOf(PartFingerprint(model, id), workspace);
    if (std::ranges::find(parts, part) == parts.end()) parts.push_back(part);
  }
}

bool RequestFeatures::Has(RequestFingerprint fingerprint) const {
  return fingerprint == content || std::ranges::any_of(parts, [&](const PartFeature& part) {
           return part.anywhere == fingerprint || part.in_workspace == fingerprint;
         });
}

}  // namespace ridgehold
