// The bytes that were received on a connection and are not parsed yet.

#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include "net/read_allocator.h"

namespace ridgehold {

/// Bounds what a peer can make the process hold by bytes that never become a head, a chunk or a
/// trailer. A buffer that may not grow fails the read with http::error::buffer_overflow. Its memory
/// comes from the budget of the executor's context.
class ReadBuffer : public boost::beast::basic_flat_buffer<ReadAllocator<char>> {
 public:
  /// `max_bytes` has to exceed the largest head that is accepted.
  ReadBuffer(const net::any_io_executor& executor, std::size_t max_bytes)
      : basic_flat_buffer(max_bytes, ReadAllocator<char>(ReadBudget::Of(executor))) {}

  /// Whether it holds as much as it may. If a read overflowed a buffer that is not full, all
  /// buffers together hold too much.
  bool Full() const { return size() >= max_size(); }
};

}  // namespace ridgehold
