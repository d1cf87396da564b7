// Attempts that run, each with a way to end it.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ridgehold {

/// Watched by `Facts`, which say when an attempt is to be withdrawn. Runs on one executor;
/// outlives its tickets.
template <class Facts>
class WithdrawableAttempts {
 public:
  /// Ends the attempt; its ticket, and those of others, may be dropped within.
  using Withdraw = std::function<void()>;

  /// An attempt is watched for as long as its ticket lives.
  class Ticket {
   public:
    Ticket(WithdrawableAttempts& attempts, std::uint64_t number)
        : attempts_(&attempts), number_(number) {}
    ~Ticket() { attempts_->entries_.erase(number_); }

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

   private:
    WithdrawableAttempts* attempts_;
    std::uint64_t number_;
  };

  /// `ticket` is filled.
  void Add(std::optional<Ticket>& ticket, Facts facts, Withdraw withdraw) {
    const std::uint64_t number = ++last_number_;
    entries_[number] = {std::move(facts), std::move(withdraw)};
    ticket.emplace(*this, number);
  }

  /// Withdraws those for whose facts `matches` holds; it is called once for each, before
  /// any is withdrawn. They are not watched any more.
  template <class Predicate>
  void WithdrawIf(Predicate matches) {
    std::vector<std::uint64_t> matching;
    for (const auto& [number, entry] : entries_) {
      if (matches(entry.facts)) matching.push_back(number);
    }
    for (const std::uint64_t number : matching) {
      auto entry = entries_.extract(number);
      if (!entry.empty()) entry.mapped().withdraw();
    }
  }

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Facts facts;
    Withdraw withdraw;
  };

  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t last_number_ = 0;
};

}  // namespace ridgehold
