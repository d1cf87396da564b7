// This instance's part in holding quotas: asks for its own requests, and grants while it
// holds its zone's share.

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

/// Who holds the shares, as the store says.
struct QuotaHolders {
  std::string own_zone;             ///< address; empty: nobody
  std::vector<std::string> others;  ///< of all other zones
};

/// Carries the messages of QuotaClient and QuotaHolder. Runs on one executor.
class QuotaLink {
 public:
  struct Options {
    std::string name;     ///< of what is counted, for the log
    std::string address;  ///< of this instance, without a port
    std::uint32_t shares = 1;
    std::uint64_t incarnation = 0;  ///< differs for each process, and for each link of it
  };
  /// What a link needs of the instance that it is in.
  struct Surroundings {
    std::function<void(const std::string& address, const QuotaMessage& message)> send;
    /// Who holds the shares of the subject's quota.
    std::function<QuotaHolders(const QuotaSubject&)> find_holders;
    /// Who holds the other shares of what this instance has a share of.
    std::function<std::vector<std::string>()> find_lenders;
    /// How this instance took its zone's key, if it may act on it.
    std::function<std::optional<QuotaHolder::Taking>(TimePoint)> find_taking;
    /// Terms that have changed since the last call.
    std::function<std::map<QuotaSubject, QuotaTerms>()> take_new_terms;
  };

  QuotaLink(net::any_io_executor executor, Metrics& metrics, const Options& options,
            Surroundings surroundings);

  /// Ends within 40 ms for each holder after the demand's patience, or at once without it.
  net::awaitable<QuotaOutcome> Acquire(QuotaDemand demand);
  void GiveBack(const QuotaTicket& ticket) { Deliver(QuotaClient::GiveBack(ticket)); }

  void Take(const QuotaMessage& message, const std::string& from);
  /// Whether the request is one of this link's own.
  bool IsOwn(const QuotaRequestId& id) const { return id.incarnation == incarnation_; }

  /// Watches over loans.
  net::awaitable<void> Run();
  void Stop();

  std::vector<QuotaHolder::Usage> Usages();

 private:
  /// Whom the client asks next.
  void FindHolders(const QuotaSubject& subject);
  /// Sends what is for others and takes what is for this instance.
  void Deliver(QuotaOutbox outbox);
  QuotaOutbox TakeOne(const QuotaMessage& message, const std::string& from);
  /// The holder's part, as of now.
  QuotaHolder& Holder(TimePoint now);

  net::any_io_executor executor_;
  Metrics& metrics_;
  std::string name_;
  std::string address_;
  std::uint64_t incarnation_;
  Surroundings surroundings_;
  QuotaClient client_;
  QuotaHolder holder_;
  std::map<std::uint64_t, Timer*> waiting_;  ///< by number of QuotaClient
  Timer loans_timer_;
  bool stopped_ = false;
};

}  // namespace ridgehold
