// Memory of what was received and parsed, and is not processed yet.

#pragma once

#include "net/read_budget.h"

namespace ridgehold {

/// Returns its bytes to the budget, which must outlive it, when it is destroyed.
class ReadShare {
 public:
  explicit ReadShare(ReadBudget& budget) : budget_(budget) {}
  ~ReadShare() { budget_.Return(bytes_); }

  ReadShare(const ReadShare&) = delete;
  ReadShare& operator=(const ReadShare&) = delete;

  /// Sets its size in bytes. Returns false, and holds nothing, if there is no room.
  bool Resize(std::size_t bytes) {
    budget_.Return(bytes_);
    bytes_ = 0;
    if (!budget_.Take(bytes)) return false;
    bytes_ = bytes;
    return true;
  }

 private:
  ReadBudget& budget_;
  std::size_t bytes_ = 0;
};

}  // namespace ridgehold
