#include "peers/quota_link.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "log/log.h"
#include "net/wait.h"

namespace ridgehold {
namespace {

// Wake-up interval while this instance holds no share and no loan is pending.
constexpr Duration kIdleInterval = std::chrono::seconds(60);
// Holders apply a raised quota within this time after the configuration has arrived.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);

QuotaHolder::Options HolderOptions(std::uint32_t shares) {
  QuotaHolder::Options options;
  options.shares = shares;
  return options;
}

QuotaClient::Options ClientOptions(std::uint32_t shares) {
  QuotaClient::Options options;
  options.shares = shares;
  return options;
}

}  // namespace

QuotaLink::QuotaLink(net::any_io_executor executor, Metrics& metrics, const Options& options,
                     Callbacks callbacks)
    : executor_(executor),
      metrics_(metrics),
      name_(options.name),
      address_(options.address),
      incarnation_(options.incarnation),
      callbacks_(std::move(callbacks)),
      client_(ClientOptions(options.shares), options.incarnation),
      holder_(HolderOptions(options.shares)),
      holder_timer_(executor) {}

net::awaitable<QuotaOutcome> QuotaLink::Acquire(QuotaDemand demand) {
  const TimePoint start = Clock::now();
  QuotaOutbox outbox;
  UpdateHolders(demand.subject);
  const std::uint64_t acquisition_id = client_.Start(demand, start, outbox);
  Timer timer(executor_);
  waiters_[acquisition_id] = &timer;
  Dispatch(std::move(outbox));
  std::optional<QuotaOutcome> outcome = client_.TakeOutcome(acquisition_id);
  while (!outcome) {
    const TimePoint tick = client_.NextTick(acquisition_id);
    co_await WaitUntil(timer, tick);
    if (Clock::now() >= tick) co_await HandleArrivals(executor_);
    outcome = client_.TakeOutcome(acquisition_id);
    if (outcome) break;
    UpdateHolders(demand.subject);
    Dispatch(client_.Tick(acquisition_id, Clock::now()));
    outcome = client_.TakeOutcome(acquisition_id);
  }
  waiters_.erase(acquisition_id);
  metrics_.GetSummary("ridgehold_quota_asking_seconds")
      .Observe(std::chrono::duration<double>(Clock::now() - start).count());
  co_return std::move(*outcome);
}

void QuotaLink::UpdateHolders(const QuotaSubject& subject) {
  QuotaHolders holders = callbacks_.find_holders(subject);
  client_.SetHolders(std::move(holders.own_zone), std::move(holders.others));
}

void QuotaLink::Handle(const QuotaMessage& message, const std::string& from) {
  Dispatch(HandleOne(message, from));
}

QuotaOutbox QuotaLink::HandleOne(const QuotaMessage& message, const std::string& from) {
  const TimePoint now = Clock::now();
  if (const auto* request = std::get_if<QuotaRequest>(&message)) {
    return RefreshHolder(now).Handle(*request, from, now);
  }
  if (const auto* refund = std::get_if<QuotaRefund>(&message))
    return RefreshHolder(now).Handle(*refund, now);
  const auto& reply = std::get<QuotaReply>(message);
  const auto acquisition_id = client_.FindAcquisition(reply.id);
  if (!acquisition_id) return RefreshHolder(now).Handle(reply, now);
  QuotaOutbox outbox = client_.Handle(reply, from, now);
  const auto waiter = waiters_.find(*acquisition_id);
  if (waiter != waiters_.end()) waiter->second->cancel();
  return outbox;
}

void QuotaLink::Dispatch(QuotaOutbox outbox) {
  std::deque<QuotaOutgoing> pending(std::make_move_iterator(outbox.begin()),
                                    std::make_move_iterator(outbox.end()));
  while (!pending.empty()) {
    const QuotaOutgoing next = std::move(pending.front());
    pending.pop_front();
    if (next.to != address_) {
      callbacks_.send(next.to, next.message);
      continue;
    }
    for (QuotaOutgoing& more : HandleOne(next.message, address_))
      pending.push_back(std::move(more));
  }
  if (holder_.NextTick()) holder_timer_.cancel();
}

QuotaHolder& QuotaLink::RefreshHolder(TimePoint now) {
  const bool was_holding = holder_.holding();
  holder_.SetLease(callbacks_.find_lease(now));
  if (holder_.holding()) {
    holder_.SetLenders(callbacks_.find_lenders());
    for (const auto& [subject, limits] : callbacks_.take_changed_limits()) {
      holder_.UpdateLimits(subject, limits, now);
    }
  }
  if (was_holding != holder_.holding()) {
    Log(LogLevel::kInfo, holder_.holding() ? "quota share held" : "quota share not held",
        {{"counts", name_}});
    holder_timer_.cancel();
  }
  return holder_;
}

net::awaitable<void> QuotaLink::Run() {
  while (!stopped_) {
    const TimePoint now = Clock::now();
    Dispatch(RefreshHolder(now).Tick(now));
    const Duration interval = holder_.holding() ? kRefreshInterval : kIdleInterval;
    const TimePoint next = holder_.NextTick().value_or(now + interval);
    co_await WaitUntil(holder_timer_, next);
  }
}

void QuotaLink::Stop() {
  stopped_ = true;
  holder_timer_.cancel();
}

std::vector<QuotaHolder::Usage> QuotaLink::Usages() {
  const TimePoint now = Clock::now();
  return RefreshHolder(now).Usages(now);
}

}  // namespace ridgehold
