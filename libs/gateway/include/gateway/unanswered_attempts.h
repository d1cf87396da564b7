// Attempts that have no answer yet, withdrawn when their backend server is out of reach.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "gateway/backend_directory.h"

namespace ridgehold {

/// A backend server that falls silent keeps what was sent there. Those requests that may
/// run again go elsewhere as soon as a probe does not reach it, after some 0.9 s, and not
/// when their patience of several objectives is over. Runs on one executor; outlives its
/// tickets.
class UnansweredAttempts {
 public:
  /// Ends the attempt; its ticket may be dropped within.
  using Withdraw = std::function<void()>;

  /// An attempt is unanswered for as long as its ticket lives.
  class Ticket {
   public:
    Ticket(UnansweredAttempts& attempts, std::uint64_t number)
        : attempts_(&attempts), number_(number) {}
    ~Ticket() { attempts_->entries_.erase(number_); }

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

   private:
    UnansweredAttempts* attempts_;
    std::uint64_t number_;
  };

  /// `ticket` is filled.
  void Add(std::optional<Ticket>& ticket, const BackendId& backend, Withdraw withdraw) {
    entries_[++last_number_] = {backend, std::move(withdraw)};
    ticket.emplace(*this, last_number_);
  }

  void WithdrawFrom(const BackendId& backend) {
    std::vector<Withdraw> withdrawn;
    for (const auto& [number, entry] : entries_) {
      if (entry.backend == backend) withdrawn.push_back(entry.withdraw);
    }
    for (const Withdraw& withdraw : withdrawn) withdraw();
  }

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    BackendId backend;
    Withdraw withdraw;
  };

  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t last_number_ = 0;
};

}  // namespace ridgehold
