// Active health checks of backend servers by TCP connect.

#pragma once

#include <chrono>
#include <cstdint>

#include "gateway/backend_directory.h"
#include "gateway/gateway_state.h"
#include "net/outbound_connection.h"
#include "net/timer.h"

namespace ridgehold {

/// A backend server behind a network partition does not respond, so a request that is sent to
/// detect its recovery is lost or late: about forty requests in five seconds with two of nine
/// engines partitioned from seven gateways. The prober opens a connection instead, after a failure
/// and when a request has waited for too long; a server gets requests again only after a successful
/// probe. Runs on one executor and lives as long as it.
class BackendProber {
 public:
  struct Options {
    /// If false, reachability is detected by requests only.
    bool enabled = true;
    /// Interval between scans for backend servers that are due for a probe.
    std::chrono::milliseconds look{50};
    /// Connect time-out. A connection between zones opens in 2 to 10 ms; a lost SYN is
    /// retransmitted after 1 s.
    std::chrono::milliseconds connect_limit{250};
    /// Minimum interval between probes of one backend server.
    std::chrono::milliseconds pause{250};
    /// A backend server is probed if a request has waited for its first event for this many of the
    /// service's shortest objectives: engines are given less than one objective of prefill work.
    double suspect_after_objectives = 1.25;
    /// Maximum time an interrupted request waits for the probe before it is retried: the host of a
    /// terminated process refuses connections within one round trip, 6 ms between zones.
    std::chrono::milliseconds confirm_timeout{20};
    /// Delay before a retry after a crash, to receive crash reports from peers: concurrent copies
    /// of the request may have crashed other servers, which is reported within 1 ms plus a one-way
    /// latency of 3 ms. Three concurrent copies crashed six servers without this delay and three
    /// with it.
    std::chrono::milliseconds peer_report_delay{10};
    /// Minimum interval between probes of one backend server whose crash is awaited.
    std::chrono::milliseconds proof_pause{25};
    /// Minimum interval between checks whether peers reach an unreachable backend server.
    std::chrono::milliseconds peer_path_pause{1'000};
    /// Maximum time of such a check.
    std::chrono::milliseconds peer_path_limit{600};
    /// Maximum number of concurrent probes; further ones wait for the next scan.
    std::size_t max_concurrent = 16;
  };

  BackendProber(GatewayState& state, Options options)
      : state_(state), options_(options), timer_(state.executor()) {}

  net::awaitable<void> Run();

  /// Probes a backend server immediately after an interrupted attempt, unless it was probed
  /// recently, and waits for the result. A refused connection shows that the process has
  /// terminated, 20 to 85 ms earlier than the next scan; until then, the attempt and further copies
  /// of the request would be retried without this information.
  net::awaitable<void> ConfirmCrash(BackendPtr backend);

  /// Probes the backend servers that may have crashed while running the request until it may be
  /// sent, at the latest until `limit`.
  net::awaitable<void> AwaitCrashProof(const RequestFeatures& request, TimePoint limit);

 private:
  /// Why a backend server is probed.
  enum class Purpose : std::uint8_t { kReachability, kCrash };

  void StartProbe(const BackendPtr& backend, Purpose purpose);
  void StartProbes(TimePoint now);
  bool IsDue(const Backend& backend, TimePoint now) const;
  bool IsSuspicious(const Backend& backend, TimePoint now) const;
  net::awaitable<void> Probe(BackendPtr backend, Purpose purpose);
  /// Connects directly and records the result.
  net::awaitable<void> ProbeDirectly(BackendPtr backend);
  /// Connects through a peer. A crash counts only if nothing listens at the backend server's
  /// address there either.
  net::awaitable<void> ProbeThroughPeer(BackendPtr backend);
  /// Probes a few other backend servers if the last contact is too old to tell a partition from
  /// the loss of one server.
  void VerifyContact(TimePoint now);
  bool NeedsPeerPath(const Backend& backend, TimePoint now) const;
  /// Whether a refused connection may be the doing of a partition.
  bool MayBePartitioned(const Backend& backend) const;
  void RecordCrashIfRefused(const BackendPtr& backend, bool refused);
  /// Whether no connection to it is open. A server with a full accept queue also refuses
  /// connections.
  bool HasNoOpenConnection(const Backend& backend);

  GatewayState& state_;
  Options options_;
  Timer timer_;
  std::size_t running_ = 0;
  std::uint64_t samples_ = 0;
};

}  // namespace ridgehold
