// Lets large bodies into the memory of the process, as many as there is room for.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>

#include "base/ids.h"
#include "buffering/body_room.h"
#include "buffering/byte_queue.h"
#include "net/beast.h"

namespace ridgehold {

/// Runs on one executor. What waits costs a timer each, and no processor time.
class BodyGate : public std::enable_shared_from_this<BodyGate> {
 public:
  /// `capacity` bounds all rooms together, in bytes.
  static std::shared_ptr<BodyGate> Create(net::any_io_executor executor, std::size_t capacity);

  /// Waits for room for `bytes`. Returns nullopt if there is none until `deadline`.
  net::awaitable<std::optional<BodyRoom>> Acquire(std::size_t bytes, TimePoint deadline);

  const ByteQueue& queue() const { return queue_; }

 private:
  friend class BodyRoom;
  struct Waiter;

  BodyGate(net::any_io_executor executor, std::size_t capacity)
      : executor_(std::move(executor)), queue_(capacity) {}

  void Return(std::size_t bytes);
  void Wake(const std::vector<ByteQueue::Ticket>& granted);

  net::any_io_executor executor_;
  ByteQueue queue_;
  std::map<ByteQueue::Ticket, std::weak_ptr<Waiter>> waiters_;
};

}  // namespace ridgehold
