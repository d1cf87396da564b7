// The concept of giving an engine orders and asking for its state.

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

/// What an engine says of itself; some hundred ms old.
struct EngineStatus {
  StartStamp started;
  std::map<ModelId, WeightsNumber> weights;
  bool busy = false;               ///< an order is being carried out
  std::uint64_t orders_taken = 0;  ///< number of orders accepted since its start
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
};

/// What happens to running requests when weights are loaded.
enum class ReloadMode : std::uint8_t {
  kFinishRequests,    ///< they end first
  kAbortRequests,     ///< their streams are reset
  kContinueRequests,  ///< they go on under the new weights
};

std::string_view NameOf(ReloadMode mode);

/// An order to load weights.
struct LoadOrder {
  ModelId model;
  WeightsNumber number;
  ReloadMode mode = ReloadMode::kFinishRequests;
  DaemonId holder;
  std::uint64_t fencing_token = 0;
  std::uint64_t expected_orders_taken = 0;  ///< the order is void after any other
};

/// How an order was received.
enum class OrderOutcome : std::uint8_t {
  kStarted,
  kAlreadyLoaded,
  kConflict,          ///< another order runs, or was taken since the report
  kFenced,            ///< a holder with a higher fencing token was there
  kWrongIncarnation,  ///< the address belongs to another incarnation
  kInvalid,
  kNotSent,  ///< nothing was sent
  kUnknown,  ///< no answer: it may be carried out, now or later
};

std::string_view NameOf(OrderOutcome outcome);

/// Whether an order may go out now; asked once the connection is there.
using OrderPrecondition = std::function<bool()>;

/// A client of engines' control calls.
template <class Control>
concept BackendControl = requires(Control& control, const BackendEntry& entry,
                                  const LoadOrder& load, const OrderPrecondition& may_order) {
  { control.FetchStatus(entry) } -> std::same_as<net::awaitable<std::optional<EngineStatus>>>;
  { control.SendLoadOrder(entry, load, may_order) } -> std::same_as<net::awaitable<OrderOutcome>>;
};

}  // namespace ridgehold
