// Decoded content of store items.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "base/result.h"
#include "control/state_store.h"
#include "gateway/backend_directory.h"
#include "gateway/inbound_request.h"
#include "gateway/routing_snapshot.h"

namespace ridgehold {

/// Weights of a model that the operator has named for use.
struct DesiredWeights {
  ModelId model;
  WeightsNumber number;
};

/// The operator's order to move a service to backend servers of another release.
struct ReleaseOrder {
  ServiceId service;
  ReleaseId target;
};

/// An item that entry instances do not use.
struct IgnoredItem {};

/// The decoded content of an item.
using DecodedItem =
    std::variant<IgnoredItem, RoutingConfig, DesiredWeights, ReleaseOrder, BackendEntry>;

/// Decodes keys and values of the store. Stateless.
template <class Codec>
concept ItemDecoder = requires(const StoreItem& item, std::string_view key) {
  /// Fails with kPlatformMalformed.
  { Codec::Decode(item) } -> std::same_as<Result<DecodedItem>>;
  /// Returns the backend server if `key` is a registration.
  { Codec::BackendOf(key) } -> std::same_as<std::optional<BackendId>>;
};

}  // namespace ridgehold
