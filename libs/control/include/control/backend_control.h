// Interface to an engine's control endpoint: status reports and orders to load weights.

#pragma once

#include <boost/system/result.hpp>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "gateway/backend_directory.h"
#include "gateway/inbound_request.h"
#include "net/beast.h"

namespace ridgehold {

/// Status that an engine reports about itself; it can be a few hundred milliseconds old.
struct EngineStatus {
  StartStamp started;
  std::map<ModelId, WeightsNumber> weights;
  bool busy = false;               ///< an order is in progress
  std::uint64_t orders_taken = 0;  ///< orders accepted since the engine started
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
};

/// How requests that are running at the engine are treated when it loads weights.
enum class ReloadMode : std::uint8_t {
  kFinishRequests,    ///< they end before the load
  kAbortRequests,     ///< their streams are reset before the load
  kContinueRequests,  ///< they continue with the new weights
};

std::string_view NameOf(ReloadMode mode);

/// An order to load weights.
struct LoadOrder {
  ModelId model;
  WeightsNumber number;
  ReloadMode mode = ReloadMode::kFinishRequests;
  DaemonId holder;
  std::uint64_t fencing_token = 0;
  std::uint64_t expected_orders_taken = 0;  ///< rejected if another order was accepted since
};

/// Result of sending an order.
enum class OrderOutcome : std::uint8_t {
  kStarted,
  kAlreadyLoaded,
  kConflict,          ///< another order is in progress, or was accepted since the report
  kFenced,            ///< the engine has seen a higher fencing token
  kWrongIncarnation,  ///< another incarnation answers at the address
  kInvalid,
  kNotSent,  ///< nothing was sent
  kUnknown,  ///< no answer; the engine may still carry it out
};

std::string_view NameOf(OrderOutcome outcome);

/// Returns whether an order may be sent. Called after the connection is established, immediately
/// before the order is written.
using OrderPrecondition = std::function<bool()>;

/// A client of the engines' control endpoints.
template <class Control>
concept BackendControl = requires(Control& control, const BackendEntry& entry,
                                  const LoadOrder& load, const OrderPrecondition& may_order) {
  { control.FetchStatus(entry) } -> std::same_as<net::awaitable<std::optional<EngineStatus>>>;
  { control.SendLoadOrder(entry, load, may_order) } -> std::same_as<net::awaitable<OrderOutcome>>;
};

}  // namespace ridgehold
