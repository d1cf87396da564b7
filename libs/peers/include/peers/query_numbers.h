// Numbers queries, so that answers can be matched to them.

#pragma once

#include <cstdint>
#include <random>

namespace ridgehold {

/// The numbers differ from those of earlier processes at the same address, whose answers may still
/// arrive.
class QueryNumbers {
 public:
  std::uint64_t Next() { return ++last_; }

 private:
  std::uint64_t last_ = std::uint64_t{std::random_device{}()} << 32;
};

}  // namespace ridgehold
