// What the keys of the store mean to a gateway.

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

/// The operator has named newer weights of a model.
struct DesiredWeights {
  ModelId model;
  WeightsNumber number;
};

/// A key that is of no concern.
struct IgnoredItem {};

/// A key's meaning.
using DecodedItem = std::variant<IgnoredItem, RoutingParts, DesiredWeights, BackendEntry>;

/// Decodes keys and values of the store. Stateless.
template <class Codec>
concept ItemDecoder = requires(const StoreItem& item, std::string_view key) {
  /// Fails with kPlatformMalformed.
  { Codec::Decode(item) } -> std::same_as<Result<DecodedItem>>;
  /// The backend server whose registration `key` is, if it is one.
  { Codec::BackendOf(key) } -> std::same_as<std::optional<BackendId>>;
};

}  // namespace ridgehold
