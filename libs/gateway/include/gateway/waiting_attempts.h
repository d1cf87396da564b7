// Requests that engines have not begun yet, withdrawn when their weights get too old.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/ids.h"
#include "gateway/named_weights.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// The bound on older weights is about when an engine begins a request. A
/// queue may lie between sending and that, and newer weights may be named
/// meanwhile; so what waits is watched until its first event. Runs on one
/// executor; outlives its tickets.
class WaitingAttempts {
 public:
  /// Ends the attempt; its ticket may be dropped within.
  using Withdraw = std::function<void()>;

  /// An attempt waits for as long as its ticket lives.
  class Ticket {
   public:
    Ticket(WaitingAttempts& attempts, std::uint64_t number)
        : attempts_(&attempts), number_(number) {}
    ~Ticket() { attempts_->entries_.erase(number_); }

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

   private:
    WaitingAttempts* attempts_;
    std::uint64_t number_;
  };

  /// `limit` is how long a request may begin on weights after newer were named.
  WaitingAttempts(net::any_io_executor executor, const NamedWeights& named,
                  std::chrono::milliseconds limit)
      : named_(named), limit_(limit), timer_(executor) {}

  /// An attempt waits at an engine with these weights. `ticket` is filled.
  void Add(std::optional<Ticket>& ticket, const ModelId& model, WeightsNumber weights,
           Withdraw withdraw);

  /// Weights were named, or the moment of a naming is known better.
  void Review();

  void SetLimit(std::chrono::milliseconds limit);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    ModelId model;
    WeightsNumber weights;
    Withdraw withdraw;
  };

  /// When the attempt must have begun; nothing while its weights are the newest.
  std::optional<TimePoint> BoundOf(const Entry& entry) const;
  void ArmFor(TimePoint bound);

  const NamedWeights& named_;
  std::chrono::milliseconds limit_;
  Timer timer_;
  std::optional<TimePoint> armed_for_;
  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t last_number_ = 0;
};

}  // namespace ridgehold
