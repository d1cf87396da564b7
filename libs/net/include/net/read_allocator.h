// Allocates the memory of buffers for received bytes.

#pragma once

#include <cstddef>
#include <memory>

#include "net/read_budget.h"

namespace ridgehold {

/// Counts what it allocates in a budget, which must outlive it.
template <class T>
class ReadAllocator {
 public:
  using value_type = T;

  explicit ReadAllocator(ReadBudget& budget) : budget_(&budget) {}
  template <class U>
  // NOLINTNEXTLINE(google-explicit-constructor): required of an allocator.
  ReadAllocator(const ReadAllocator<U>& other) : budget_(other.budget()) {}

  T* allocate(std::size_t count) {
    T* memory = std::allocator<T>().allocate(count);
    budget_->Add(count * sizeof(T));
    return memory;
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
