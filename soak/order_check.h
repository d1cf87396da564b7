// Judges the orders that engines receive.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "calm.h"
#include "verdict.h"

namespace ridgehold::soak {

/// Orders of two holders must lie a lease apart, to whichever engines they go,
/// and bear tokens that grow.
class OrderCheck {
 public:
  OrderCheck(Verdict& verdict, const Calm& calm) : verdict_(verdict), calm_(calm) {}

  void Arrived(const std::string& engine, const std::string& holder, std::uint64_t token);

  /// Orders that followed one of another holder.
  int handovers() const { return handovers_; }

 private:
  struct Order {
    std::string holder;
    std::uint64_t token = 0;
    TimePoint arrived{};
  };

  Verdict& verdict_;
  const Calm& calm_;
  std::optional<Order> last_;
  int handovers_ = 0;
};

}  // namespace ridgehold::soak
