// Judges the orders that engines receive.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "calm.h"
#include "verdict.h"

namespace ridgehold::soak {

/// Orders to one engine: those of two holders must lie a lease apart and bear
/// tokens that grow.
class OrderCheck {
 public:
  OrderCheck(Verdict& verdict, const Calm& calm) : verdict_(verdict), calm_(calm) {}

  void Arrived(const std::string& engine, const std::string& holder, std::uint64_t token);

 private:
  struct Order {
    std::string holder;
    std::uint64_t token = 0;
    TimePoint arrived{};
  };

  Verdict& verdict_;
  const Calm& calm_;
  std::map<std::string, Order> last_;  // by engine
};

}  // namespace ridgehold::soak
