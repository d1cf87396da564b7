// Divides a number of bytes among those who ask for them, in the order of their asking.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/ids.h"

namespace ridgehold {

/// First in, first out: a large demand is not passed over by smaller ones for ever. A demand above
/// the capacity is granted when nothing else is in use, so that none waits in vain. Not
/// thread-safe.
class ByteQueue {
 public:
  using Ticket = Strong<struct ByteTicketTag, std::uint64_t>;

  explicit ByteQueue(std::size_t capacity) : capacity_(capacity) {}

  /// Takes `bytes` if they are free and nobody waits. Returns whether it did.
  bool Take(std::size_t bytes);

  /// Waits for `bytes`, until Return() or Leave() grants the ticket.
  Ticket Enqueue(std::size_t bytes);

  /// Gives up waiting; no effect on a ticket that was granted. Returns the tickets that are granted
  /// because of this.
  std::vector<Ticket> Leave(Ticket ticket);

  /// Returns bytes that were taken or granted. Returns the tickets that are granted because of
  /// this.
  std::vector<Ticket> Return(std::size_t bytes);

  std::size_t used() const { return used_; }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Demand {
    Ticket ticket;
    std::size_t bytes = 0;
  };

  bool Fits(std::size_t bytes) const;
  std::vector<Ticket> Grant();

  std::size_t capacity_;
  std::size_t used_ = 0;
  std::uint64_t last_ticket_ = 0;
  std::deque<Demand> waiting_;
};

}  // namespace ridgehold
