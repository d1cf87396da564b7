#include "buffering/body_gate.h"

#include "net/timer.h"
#include "net/wait.h"

namespace ridgehold {

struct BodyGate::Waiter {
  Timer timer;
  bool granted = false;
};

std::shared_ptr<BodyGate> BodyGate::Create(net::any_io_executor executor, std::size_t capacity) {
  return std::shared_ptr<BodyGate>(new BodyGate(std::move(executor), capacity));
}

net::awaitable<std::optional<BodyRoom>> BodyGate::Acquire(std::size_t bytes, TimePoint deadline) {
  auto self = shared_from_this();
  if (queue_.Take(bytes)) co_return BodyRoom(self, bytes);
  const ByteQueue::Ticket ticket = queue_.Enqueue(bytes);
  auto waiter = std::make_shared<Waiter>(Waiter{Timer(executor_)});
  waiters_[ticket] = waiter;
  while (!waiter->granted && Clock::now() < deadline) co_await WaitUntil(waiter->timer, deadline);
  waiters_.erase(ticket);
  if (waiter->granted) co_return BodyRoom(self, bytes);
  Wake(queue_.Leave(ticket));
  co_return std::nullopt;
}

void BodyGate::Return(std::size_t bytes) { Wake(queue_.Return(bytes)); }

void BodyGate::Wake(const std::vector<ByteQueue::Ticket>& granted) {
  for (const ByteQueue::Ticket ticket : granted) {
    const auto found = waiters_.find(ticket);
    const auto waiter = found == waiters_.end() ? nullptr : found->second.lock();
    if (!waiter) continue;
    waiter->granted = true;
    waiter->timer.cancel();
  }
}

BodyRoom::~BodyRoom() {
  if (gate_ && bytes_ > 0) gate_->Return(bytes_);
}

void BodyRoom::ShrinkTo(std::size_t bytes) {
  if (!gate_ || bytes >= bytes_) return;
  gate_->Return(bytes_ - bytes);
  bytes_ = bytes;
}

}  // namespace ridgehold
