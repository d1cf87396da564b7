// Counts the memory of all bytes that were received and are not parsed yet.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <cstddef>

#include "net/beast.h"

namespace ridgehold {

/// One for each execution context. Not thread-safe: all buffers that it counts must be used by one
/// thread.
class ReadBudget : public net::execution_context::service {
 public:
  using key_type = ReadBudget;
  inline static net::execution_context::id id;

  explicit ReadBudget(net::execution_context& context) : service(context) {}

  /// The budget of the context on which `executor` runs.
  static ReadBudget& Of(const net::any_io_executor& executor) {
    return net::use_service<ReadBudget>(net::query(executor, net::execution::context));
  }

  void Add(std::size_t bytes) { used_ += bytes; }
  void Return(std::size_t bytes) { used_ -= bytes; }

  /// Memory of all buffers, in bytes.
  std::size_t used() const { return used_; }

 private:
  void shutdown() override {}

  std::size_t used_ = 0;
};

}  // namespace ridgehold
