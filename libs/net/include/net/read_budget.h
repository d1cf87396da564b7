// Bounds the memory of all bytes that were received and are not parsed yet.

#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <cstddef>
#include <cstdint>

#include "net/beast.h"

namespace ridgehold {

/// One for each execution context. Half of what is free is always left to others, so that a few
/// buffers that grow don't take all of it. Not thread-safe: all buffers that it counts must be used
/// by one thread.
class ReadBudget : public net::execution_context::service {
 public:
  /// Up to this size a buffer is never refused, so that small requests and responses are read
  /// however many others are unfinished. The number of connections bounds these buffers.
  static constexpr std::size_t kAlwaysGrantedBytes = 4'608;

  using key_type = ReadBudget;
  inline static net::execution_context::id id;

  explicit ReadBudget(net::execution_context& context) : service(context) {}

  /// The budget of the context on which `executor` runs.
  static ReadBudget& Of(const net::any_io_executor& executor) {
    return net::use_service<ReadBudget>(net::query(executor, net::execution::context));
  }

  /// In bytes.
  void SetCapacity(std::size_t capacity) { capacity_ = capacity; }

  /// Takes memory for a buffer, in bytes. Returns false if there is no room for it.
  bool Take(std::size_t bytes) {
    const std::size_t free = capacity_ - std::min(used_, capacity_);
    if (bytes > kAlwaysGrantedBytes && bytes > free / 2) {
      ++refused_;
      return false;
    }
    used_ += bytes;
    return true;
  }
  void Return(std::size_t bytes) { used_ -= bytes; }

  /// Memory of all buffers, in bytes.
  std::size_t used() const { return used_; }
  /// Number of times that a buffer could not grow.
  std::uint64_t refused() const { return refused_; }

 private:
  void shutdown() override {}

  std::size_t capacity_ = std::size_t{16} << 20;
  std::size_t used_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace ridgehold
