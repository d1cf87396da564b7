// Shares the origins of streams with the other gateways, and asks them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "metrics/metrics.h"
#include "net/beast.h"
#include "net/timer.h"
#include "peers/query_numbers.h"
#include "resumption/origin_search.h"
#include "resumption/origin_table.h"
#include "resumption/release_history.h"
#include "resumption/stored_origins.h"

namespace ridgehold {

/// A stream's origin is sent to its keepers, as datagrams, before its first event reaches the
/// client, if backend servers of several releases may resume it. While a service has certainly had
/// one release for longer than any stream lasts, nothing is sent. Runs on one executor.
class OriginLink {
 public:
  struct Options {
    /// How long after its start a stream may be resumed: longer than clients wait for a stream.
    std::chrono::seconds stream_lifetime{30};
    /// Time for which answers are awaited; a round trip between zones takes 6 ms.
    std::chrono::milliseconds answer_timeout{60};
    /// Datagrams may be lost. Doubled after each time.
    std::chrono::milliseconds resend_interval{20};
    /// Time for which a confirmed copy of the store is awaited if nobody contradicts. Without a
    /// call of its own, it is confirmed about once per second.
    std::chrono::milliseconds proof_timeout{1'200};
    /// Age up to which a copy of the store counts as current in answers.
    std::chrono::milliseconds max_copy_age{2'000};
  };
  struct Callbacks {
    std::function<void(const std::string& address, const OriginMessage& message)> send;
    /// Returns the addresses of all other live gateways.
    std::function<std::vector<std::string>()> peers;
    /// Returns the release that the store names for a stream.
    std::function<std::optional<ReleaseId>(StreamHash stream)> stored;
    /// Returns the time up to which the record of the service's releases is known.
    std::function<TimePoint(const ServiceId& service)> confirmed_at;
    /// Has the record read from the store; call OnRecordRead() afterwards.
    std::function<void(const ServiceId& service)> read_record;
  };

  OriginLink(net::any_io_executor executor, Metrics& metrics, Options options, Callbacks callbacks)
      : executor_(executor),
        metrics_(metrics),
        options_(options),
        callbacks_(std::move(callbacks)) {}

  /// Records that backend servers of these releases are registered for the service. Call for each
  /// registration, and for all of them more often than once per Options::stream_lifetime.
  void Observe(const ServiceId& service, const std::set<ReleaseId>& releases, TimePoint now);
  /// Takes over the record of a service's releases. Call for each change of it.
  void Restore(const ServiceId& service, const ReleaseRecord& record, TimePoint now);
  /// Declares that no gateway has served the service before.
  void MarkComplete(const ServiceId& service) { histories_[service].MarkComplete(); }
  /// The releases that should begin no stream yet, as long as there are others: if all gateways
  /// end, only the record tells that they have served.
  std::set<ReleaseId> UnrecordedOf(const ServiceId& service, TimePoint now) const;
  /// Has searches look at what is known now.
  void OnRecordRead();
  /// What the record of the service should hold; no release if none is known.
  ReleaseRecord RecordOf(const ServiceId& service, TimePoint now) const;

  /// Returns the origins that were shared since the last call, to be written to the store.
  OriginBatch TakeUnstored() { return std::exchange(unstored_, {}); }

  /// Forgets streams that can no longer be resumed.
  void Expire(TimePoint now) { table_.Expire(options_.stream_lifetime, now); }

  /// Records that `release` began the stream of this attempt, or goes on with it.
  void RecordStart(const RequestId& attempt, const WorkspaceId& workspace, const ServiceId& service,
                   const ReleaseId& release);

  /// Finds the release that began the stream of a client's attempt. Waits for the answers of other
  /// gateways if necessary.
  net::awaitable<OriginFinding> Find(RequestId attempt, WorkspaceId workspace, ServiceId service);

  void Handle(const OriginMessage& message, const std::string& from);

 private:
  struct Pending {
    OriginSearch search;
    Timer* timer;
    std::set<std::string> silent;  ///< gateways that have not answered
  };

  /// Streams that began while there was certainly one release can go on at the wrong one once that
  /// is not certain any more.
  void ShareIfUncertain(const ServiceId& service, TimePoint now);
  ReleaseHistory::Summary SummaryOf(const ServiceId& service, TimePoint now) const;
  /// Tells the first `count` of the stream's keepers among `peers`.
  void Share(AttemptHash attempt, const StreamOrigin& origin, const std::vector<std::string>& peers,
             std::size_t count);
  /// What this gateway was told of the stream or has read in the store.
  std::optional<OriginFinding> FindKnown(AttemptHash attempt, StreamScope scope) const;
  net::awaitable<OriginFinding> Ask(OriginQuery query);
  /// The finding of a search that began at `began`; nullopt if waiting may still give one.
  std::optional<OriginFinding> Judge(const OriginQuery& query, const OriginSearch& search,
                                     TimePoint began) const;
  void Count(const OriginFinding& finding);

  net::any_io_executor executor_;
  Metrics& metrics_;
  Options options_;
  Callbacks callbacks_;
  OriginTable table_;
  std::map<ServiceId, ReleaseHistory> histories_;
  OriginBatch unstored_;
  std::map<std::uint64_t, Pending*> pending_;  ///< by the number of the query
  QueryNumbers query_numbers_;
};

}  // namespace ridgehold
