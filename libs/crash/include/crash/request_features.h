// The features of a request that other requests may share, and by which those that crash backend
// servers are recognized.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/ids.h"
#include "base/workspace_hash.h"

namespace ridgehold {

/// A part of a prompt. Like the fingerprint of a request's content, its two fingerprints stand for
/// requests that may share a fate: those of all workspaces, or of one, that contain the part.
struct PartFeature {
  RequestFingerprint anywhere;
  RequestFingerprint in_workspace;

  bool operator==(const PartFeature&) const = default;
};

/// The fingerprint of a prompt part of a model. Parts with the same id in prompts for different
/// models are different.
RequestFingerprint PartFingerprint(const ModelId& model, std::uint64_t part);

/// The feature of the part with fingerprint `anywhere` in prompts of one workspace.
PartFeature FeatureOf(RequestFingerprint anywhere, WorkspaceHash workspace);

/// What a request shares with others.
struct RequestFeatures {
  /// Maximum number of parts; a prompt's further ones are ignored.
  static constexpr std::size_t kMaxParts = 64;

  RequestFingerprint content;  ///< see FingerprintOf()
  WorkspaceHash workspace = 0;
  std::vector<PartFeature> parts;  ///< excludes the prompt's last part, which is the request's own

  /// Adds the parts of a prompt for the model, of which `ids` are the shared ones.
  void AddParts(const ModelId& model, std::span<const std::uint64_t> ids);

  /// Whether `fingerprint` stands for this request, among others.
  bool Has(RequestFingerprint fingerprint) const;
};

}  // namespace ridgehold
