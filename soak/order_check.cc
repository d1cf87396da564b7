#include "order_check.h"

#include "bounds.h"

namespace ridgehold::soak {

void OrderCheck::Arrived(const std::string& engine, const std::string& holder,
                         std::uint64_t token) {
  const TimePoint now = Clock::now();
  // What was held up may come in any order; precondition guards against it.
  if (now - calm_.last_thaw() <= kThaw) return;
  if (last_ && last_->holder != holder) {
    const Order& before = *last_;
    ++handovers_;
    if (now - before.arrived < kHolderSeparation) {
      verdict_.Fail("holders take turns", engine, before.holder + " and then " + holder);
    }
    if (token <= before.token) {
      verdict_.Fail(
          "fencing tokens do not grow", engine,
          holder + " has " + std::to_string(token) + " after " + std::to_string(before.token));
    }
  }
  last_ = Order{holder, token, now};
}

}  // namespace ridgehold::soak
