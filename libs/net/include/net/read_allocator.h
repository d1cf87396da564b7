// Allocates the memory of buffers for received bytes.

#pragma once

#include <cstddef>
#include <memory>
#include <stdexcept>

#include "net/read_budget.h"

namespace ridgehold {

/// Takes what it allocates from a budget, which must outlive it. Throws std::length_error if there
/// is no room, which Beast reports as http::error::buffer_overflow.
template <class T>
class ReadAllocator {
 public:
  using value_type = T;

  explicit ReadAllocator(ReadBudget& budget) : budget_(&budget) {}
  template <class U>
  // NOLINTNEXTLINE(google-explicit-constructor): required of an allocator.
  ReadAllocator(const ReadAllocator<U>& other) : budget_(other.budget()) {}

  T* allocate(std::size_t count) {
    if (!budget_->Take(count * sizeof(T))) throw std::length_error("no room for received bytes");
    try {
      return std::allocator<T>().allocate(count);
    } catch (...) {
      budget_->Return(count * sizeof(T));
      throw;
    }
  }

  void deallocate(T* memory, std::size_t count) {
    std::allocator<T>().deallocate(memory, count);
    budget_->Return(count * sizeof(T));
  }

  ReadBudget* budget() const { return budget_; }

  template <class U>
  bool operator==(const ReadAllocator<U>& other) const {
    return budget_ == other.budget();
  }

 private:
  ReadBudget* budget_;
};

}  // namespace ridgehold
