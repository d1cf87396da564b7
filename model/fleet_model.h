// One gateway's decisions about a fleet of modelled engines, in virtual time.

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/backend_load.h"
#include "gateway/exchange_plan.h"
#include "gateway/gateway_state.h"
#include "model/engine_model.h"
#include "quota/token_bucket.h"

namespace ridgehold::model {

/// A kind of request and how often it comes.
struct Demand {
  std::string path;  ///< of its route
  double per_second = 1;
  std::chrono::milliseconds objective{400};
  int priority = 0;
  std::uint32_t shared_tokens = 0;
  std::uint32_t own_tokens = 500;
  std::uint64_t subjects = 50;  ///< equally likely
};

/// A load pattern and what the engines are like.
struct Pattern {
  EngineFigures figures;
  std::size_t engines = 9;
  bool has_store = true;
  std::vector<Demand> demands;
  std::chrono::milliseconds length{20'000};
  /// So many engines take requests within the span, the others all the time.
  std::size_t engines_left = 9;
  std::chrono::milliseconds lost_from{0};
  std::chrono::milliseconds lost_until{0};
  /// So many engines, the first ones, name this limit all the time.
  std::size_t engines_limited = 0;
  double limit = 0;           ///< requests a second
  bool spare_limited = true;  ///< whether small requests leave them to large ones
  bool new_weights = false;   ///< at `lost_from` all caches are lost, too
  std::uint32_t seed = 1;
};

/// What became of the requests of one kind.
struct Outcome {
  std::uint32_t requests = 0;
  std::uint32_t in_time = 0;
  std::uint32_t begun = 0;
  std::uint64_t shared_read = 0;  ///< tokens of shared parts that engines read

  double share_in_time() const { return requests == 0 ? 1 : 1.0 * in_time / requests; }
};

/// Drives the gateway's own choice and admission, with its own picture of caches
/// and links, through a load pattern; the engines are modelled. The same seed
/// gives the same result. Runs and streams after the first event are left out.
class FleetModel {
 public:
  FleetModel(Pattern pattern, GatewayLimits limits, PlacementCosts weights);

  /// Plays the whole pattern; the outcome by the demands' paths.
  std::map<std::string, Outcome> Play();

 private:
  struct Arrival {
    TimePoint at{};
    std::size_t demand = 0;
    std::uint64_t subject = 0;
  };
  /// A request that has not begun.
  struct Open {
    InboundRequest request;
    ExchangePlan plan;
    std::size_t demand = 0;
    bool late = false;
    BackendPtr backend;  ///< once it was sent
    double tokens_to_prefill = 0;
    double queued_tokens = 0;
    TimePoint sent{};
  };

  void Configure();
  std::vector<Arrival> DrawArrivals();
  void Arrive(const Arrival& arrival);
  /// Sends what may be sent, in the line's order.
  void SendWaiting();
  bool TrySend(std::uint64_t number, Open& open);
  std::optional<BackendChoice> Choose(Open& open);
  bool GetPermit(const BackendPtr& backend);
  void AdvanceEngines();
  void SetEnginesLeft();
  void LoadWeights();

  Pattern pattern_;
  boost::asio::io_context io_;
  Metrics metrics_;
  GatewayState state_;
  Admission admission_;
  TransferLinks links_;  ///< as they really are
  std::map<BackendId, EngineModel> engines_;
  std::map<BackendId, TokenBucket> granted_;  ///< of engines that name a limit
  std::map<std::uint64_t, Open> open_;
  std::vector<std::uint64_t> line_;
  std::map<std::string, Outcome> outcomes_;
  std::mt19937 random_;
  TimePoint start_{};
  TimePoint now_{};
  std::uint64_t last_number_ = 0;
};

}  // namespace ridgehold::model
