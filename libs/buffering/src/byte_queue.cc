#include "buffering/byte_queue.h"

#include <algorithm>

namespace ridgehold {

bool ByteQueue::Take(std::size_t bytes) {
  if (!waiting_.empty() || !Fits(bytes)) return false;
  used_ += bytes;
  return true;
}

ByteQueue::Ticket ByteQueue::Enqueue(std::size_t bytes) {
  const Ticket ticket(++last_ticket_);
  waiting_.push_back({ticket, bytes});
  return ticket;
}

std::vector<ByteQueue::Ticket> ByteQueue::Leave(Ticket ticket) {
  std::erase_if(waiting_, [&](const Demand& demand) { return demand.ticket == ticket; });
  return Grant();
}

std::vector<ByteQueue::Ticket> ByteQueue::Return(std::size_t bytes) {
  used_ -= std::min(bytes, used_);
  return Grant();
}

bool ByteQueue::Fits(std::size_t bytes) const {
  return used_ == 0 || (used_ <= capacity_ && bytes <= capacity_ - used_);
}

std::vector<ByteQueue::Ticket> ByteQueue::Grant() {
  std::vector<Ticket> granted;
  while (!waiting_.empty() && Fits(waiting_.front().bytes)) {
    used_ += waiting_.front().bytes;
    granted.push_back(waiting_.front().ticket);
    waiting_.pop_front();
  }
  return granted;
}

}  // namespace ridgehold
