// Running attempts with their cancellation callbacks.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ridgehold {

/// Each attempt is registered with `Facts` by which it can be selected for cancellation. Runs on
/// one executor; must outlive its tickets.
template <class Facts>
class CancellableAttempts {
 public:
  /// Cancels the attempt. The callback may destroy its own ticket and others.
  using CancelCallback = std::function<void()>;

  /// Keeps an attempt registered while it lives.
  class Ticket {
   public:
    Ticket(CancellableAttempts& attempts, std::uint64_t number)
        : attempts_(&attempts), number_(number) {}
    ~Ticket() { attempts_->entries_.erase(number_); }

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

   private:
    CancellableAttempts* attempts_;
    std::uint64_t number_;
  };

  /// Registers an attempt and sets `ticket`.
  void Add(std::optional<Ticket>& ticket, Facts facts, CancelCallback cancel) {
    const std::uint64_t number = ++last_number_;
    entries_[number] = {std::move(facts), std::move(cancel)};
    ticket.emplace(*this, number);
  }

  /// Cancels and unregisters the attempts whose facts satisfy `matches`, which is called once for
  /// each before any is cancelled.
  template <class Predicate>
  void CancelIf(Predicate matches) {
    std::vector<std::uint64_t> matching;
    for (const auto& [number, entry] : entries_) {
      if (matches(entry.facts)) matching.push_back(number);
    }
    for (const std::uint64_t number : matching) {
      auto entry = entries_.extract(number);
      if (!entry.empty()) entry.mapped().cancel();
    }
  }

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Facts facts;
    CancelCallback cancel;
  };

  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t last_number_ = 0;
};

}  // namespace ridgehold
