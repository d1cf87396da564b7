#include "peers/quota_link.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "log/log.h"
#include "net/wait.h"

namespace ridgehold {
namespace {

// Without a loan that is waited for there is nothing to look after.
constexpr Duration kNoLoan = std::chrono::seconds(60);
// A raised quota is in force at its holders within this, beyond the configuration's way.
constexpr Duration kHolderLook = std::chrono::milliseconds(100);

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
                     Surroundings surroundings)
    : executor_(executor),
      metrics_(metrics),
      name_(options.name),
      address_(options.address),
      incarnation_(options.incarnation),
      surroundings_(std::move(surroundings)),
      client_(ClientOptions(options.shares), options.incarnation),
      holder_(HolderOptions(options.shares)),
      loans_timer_(executor) {}

net::awaitable<QuotaOutcome> QuotaLink::Acquire(QuotaDemand demand) {
  const TimePoint began = Clock::now();
  QuotaOutbox outbox;
  FindHolders(demand.subject);
  const std::uint64_t number = client_.Begin(demand, began, outbox);
  Timer timer(executor_);
  waiting_[number] = &timer;
  Deliver(std::move(outbox));
  std::optional<QuotaOutcome> outcome = client_.TakeOutcome(number);
  while (!outcome) {
    co_await WaitUntil(timer, client_.NextTick(number));
    FindHolders(demand.subject);
    Deliver(client_.Tick(number, Clock::now()));
    outcome = client_.TakeOutcome(number);
  }
  waiting_.erase(number);
  metrics_.GetSummary("ridgehold_quota_asking_seconds")
      .Observe(std::chrono::duration<double>(Clock::now() - began).count());
  co_return std::move(*outcome);
}

void QuotaLink::FindHolders(const QuotaSubject& subject) {
  QuotaHolders holders = surroundings_.find_holders(subject);
  client_.SetHolders(std::move(holders.own_zone), std::move(holders.others));
}

void QuotaLink::Take(const QuotaMessage& message, const std::string& from) {
  Deliver(TakeOne(message, from));
}

QuotaOutbox QuotaLink::TakeOne(const QuotaMessage& message, const std::string& from) {
  const TimePoint now = Clock::now();
  if (const auto* request = std::get_if<QuotaRequest>(&message)) {
    return Holder(now).Take(*request, from, now);
  }
  if (const auto* refund = std::get_if<QuotaRefund>(&message))
    return Holder(now).Take(*refund, now);
  const auto& reply = std::get<QuotaReply>(message);
  const auto number = client_.NumberOf(reply.id);
  if (!number) return Holder(now).Take(reply, now);
  QuotaOutbox outbox = client_.Take(reply, from, now);
  const auto waiting = waiting_.find(*number);
  if (waiting != waiting_.end()) waiting->second->cancel();
  return outbox;
}

void QuotaLink::Deliver(QuotaOutbox outbox) {
  std::deque<QuotaOutgoing> left(std::make_move_iterator(outbox.begin()),
                                 std::make_move_iterator(outbox.end()));
  while (!left.empty()) {
    const QuotaOutgoing next = std::move(left.front());
    left.pop_front();
    if (next.to != address_) {
      surroundings_.send(next.to, next.message);
      continue;
    }
    for (QuotaOutgoing& more : TakeOne(next.message, address_)) left.push_back(std::move(more));
  }
  if (holder_.NextTick()) loans_timer_.cancel();
}

QuotaHolder& QuotaLink::Holder(TimePoint now) {
  const bool was_holding = holder_.holding();
  holder_.SetHeld(surroundings_.find_taking(now));
  if (holder_.holding()) {
    holder_.SetLenders(surroundings_.find_lenders());
    for (const auto& [subject, terms] : surroundings_.take_new_terms()) {
      holder_.NoteTerms(subject, terms, now);
    }
  }
  if (was_holding != holder_.holding()) {
    Log(LogLevel::kInfo, holder_.holding() ? "quota share held" : "quota share not held",
        {{"counts", name_}});
    loans_timer_.cancel();
  }
  return holder_;
}

net::awaitable<void> QuotaLink::Run() {
  while (!stopped_) {
    const TimePoint now = Clock::now();
    Deliver(Holder(now).Tick(now));
    const Duration rest = holder_.holding() ? kHolderLook : kNoLoan;
    const TimePoint next = holder_.NextTick().value_or(now + rest);
    co_await WaitUntil(loans_timer_, next);
  }
}

void QuotaLink::Stop() {
  stopped_ = true;
  loans_timer_.cancel();
}

std::vector<QuotaHolder::Usage> QuotaLink::Usages() {
  const TimePoint now = Clock::now();
  return Holder(now).Usages(now);
}

}  // namespace ridgehold
