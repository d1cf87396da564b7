// What operators configure: workspaces, keys, models, backend servers, routing rules.

#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace ridgehold {

/// A tenant: its prompts never share cache entries with another workspace.
struct Workspace {
  WorkspaceId id;
  std::uint32_t share = 1;          ///< weight against other workspaces when all wait
  std::uint32_t max_streams = 256;  ///< requests in flight on one entry instance

  bool operator==(const Workspace&) const = default;
};

/// A caller's key, known by its SHA-256 digest only.
struct KeyGrant {
  std::string sha256;
  WorkspaceId workspace;

  bool operator==(const KeyGrant&) const = default;
};

/// A model and the weights version (adapter included) that may answer for it.
struct Model {
  ModelId id;
  WeightsVersion weights;
  bool reloads = false;  ///< daemons order engines with other weights to load these

  bool operator==(const Model&) const = default;
};

/// A model engine or plain service on its own instance.
struct BackendServer {
  BackendId id;
  std::string url;
  ZoneId zone;
  ModelId model;      ///< set for a model engine
  ServiceId service;  ///< set for a plain service
  bool draining = false;
  bool checks_fencing = false;  ///< refuses orders with an old fencing number

  bool is_engine() const { return !model.value().empty(); }
  bool operator==(const BackendServer&) const = default;
};

/// How requests for a model are spread over its engines.
enum class PolicyKind : std::uint8_t { kPrefixCost, kPrefixHash, kLeastLoaded, kRoundRobin };

/// Who makes sure that a call with an Idempotency-Key runs at most once.
enum class Deduplication : std::uint8_t { kNone, kPlatform, kService };

/// Routes a model's requests, or a path prefix's calls to a plain service.
struct RoutingRule {
  RuleId id;
  ModelId model;  ///< set for a model rule
  PolicyKind policy = PolicyKind::kPrefixCost;
  std::string path;  ///< set for a service rule, such as `/planner`
  ServiceId service;
  bool repeatable = false;  ///< a call may run more than once
  Deduplication deduplication = Deduplication::kPlatform;

  bool operator==(const RoutingRule&) const = default;
};

}  // namespace ridgehold
