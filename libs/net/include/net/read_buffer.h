// The bytes that were received on a connection and are not parsed yet.

#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include "net/read_allocator.h"

namespace ridgehold {

/// Its memory is counted in the budget of the executor's context.
class ReadBuffer : public boost::beast::basic_flat_buffer<ReadAllocator<char>> {
 public:
  explicit ReadBuffer(const net::any_io_executor& executor)
      : basic_flat_buffer(ReadAllocator<char>(ReadBudget::Of(executor))) {}
};

}  // namespace ridgehold
