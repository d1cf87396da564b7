// This instance's part in enforcing quotas: acquires tokens for its own requests, and grants tokens
// while it holds its zone's share.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "metrics/metrics.h"
#include "net/timer.h"
#include "quota/quota_client.h"
#include "quota/quota_holder.h"

namespace ridgehold {

/// The holders of a quota's shares, according to the store.
struct QuotaHolders {
  std::string own_zone;             ///< address; empty if there is none
  std::vector<std::string> others;  ///< in all other zones
};

/// Transports the messages of QuotaClient and QuotaHolder. Runs on one executor.
class QuotaLink {
 public:
  struct Options {
    std::string name;     ///< of what is counted, for the log
    std::string address;  ///< of this instance, without a port
    std::uint32_t shares = 1;
    std::uint64_t incarnation = 0;  ///< unique to each process and link
  };
  /// Queries to the instance that owns the link.
  struct Callbacks {
    std::function<void(const std::string& address, const QuotaMessage& message)> send;
    /// Returns the holders of the shares of the subject's quota.
    std::function<QuotaHolders(const QuotaSubject&)> find_holders;
    /// Returns the addresses from which this instance, as a share holder, can borrow: those of the
    /// holders of the other shares.
    std::function<std::vector<std::string>()> find_lenders;
    /// Returns the lease on the zone's key, or nullopt if this instance may not grant under it.
    std::function<std::optional<QuotaHolder::Lease>(TimePoint)> find_lease;
    /// Returns the limits that have changed since the last call.
    std::function<std::map<QuotaSubject, QuotaLimits>()> take_changed_limits;
  };

  QuotaLink(net::any_io_executor executor, Metrics& metrics, const Options& options,
            Callbacks callbacks);

  /// Returns within 40 ms per holder after the demand's deadline, or at once if it has none.
  net::awaitable<QuotaOutcome> Acquire(QuotaDemand demand);
  void Refund(const QuotaTicket& ticket) { Dispatch(QuotaClient::Refund(ticket)); }

  void Handle(const QuotaMessage& message, const std::string& from);
  /// Returns whether this link sent the request.
  bool IsOwn(const QuotaRequestId& id) const { return id.incarnation == incarnation_; }

  /// Handles loan timeouts and limit changes until Stop().
  net::awaitable<void> Run();
  void Stop();

  std::vector<QuotaHolder::Usage> Usages();

 private:
  /// Updates the client's list of holders.
  void UpdateHolders(const QuotaSubject& subject);
  /// Sends messages to other instances and handles those addressed to this one.
  void Dispatch(QuotaOutbox outbox);
  QuotaOutbox HandleOne(const QuotaMessage& message, const std::string& from);
  /// Returns the holder, with its lease and limits updated.
  QuotaHolder& RefreshHolder(TimePoint now);

  net::any_io_executor executor_;
  Metrics& metrics_;
  std::string name_;
  std::string address_;
  std::uint64_t incarnation_;
  Callbacks callbacks_;
  QuotaClient client_;
  QuotaHolder holder_;
  std::map<std::uint64_t, Timer*> waiters_;  ///< by acquisition id
  Timer holder_timer_;
  bool stopped_ = false;
};

}  // namespace ridgehold
