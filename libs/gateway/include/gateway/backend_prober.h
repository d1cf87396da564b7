// Finds out which backend servers cannot be reached, without spending callers' requests on it.

#pragma once

#include <chrono>

#include "gateway/backend_directory.h"
#include "gateway/gateway_state.h"
#include "net/outbound_connection.h"
#include "net/timer.h"

namespace ridgehold {

/// A backend server behind a cut answers nothing, so every request that was sent
/// to see whether it is back was lost or late: some forty in five seconds, with
/// two of nine engines cut off from seven gateways. The prober opens a connection
/// instead, after a failure and when a request has waited for longer than it
/// should; only one that answers is given requests again. Runs on one executor,
/// as long as that does.
class BackendProber {
 public:
  struct Options {
    /// Off: only requests tell who can be reached.
    bool enabled = true;
    /// Between looks for what is to be probed.
    std::chrono::milliseconds look{50};
    /// A connection between zones opens in 2 to 10 ms; a lost packet of it is
    /// sent again after 1 s.
    std::chrono::milliseconds connect_limit{250};
    /// From one probe of a backend server to the next.
    std::chrono::milliseconds pause{250};
    /// Requests that wait so many of the shortest objectives for their first
    /// event are suspicious: engines are given less than one to read.
    double suspicious_objectives = 1.25;
    /// A request that broke off waits so long for the probe before it is sent on: a
    /// process that has ended refuses within a round trip, 6 ms between zones.
    std::chrono::milliseconds confirm_limit{20};
    /// After an end it waits so long for word of others: copies that ran at the same
    /// moment have ended other servers, which is told within a millisecond and a way
    /// of 3 ms. Without it three copies at once ended six servers, with it three.
    std::chrono::milliseconds word_of_others{10};
    /// Probes that run at once; the others wait for the next look.
    std::size_t most_at_once = 16;
  };

  BackendProber(GatewayState& state, Options options)
      : state_(state), options_(options), timer_(state.executor()) {}

  net::awaitable<void> Run();

  /// An attempt has broken off there: probes at once, unless that was done lately, and
  /// waits for the outcome. A refused connection tells that the process has ended,
  /// 20 to 85 ms sooner than the next look; the copies that arrive meanwhile, and the
  /// attempt itself, would be sent on without that knowledge.
  net::awaitable<void> Confirm(BackendPtr backend);

 private:
  void StartProbe(const BackendPtr& backend);
  void StartProbes(TimePoint now);
  bool IsDue(const Backend& backend, TimePoint now) const;
  bool IsSuspicious(const Backend& backend, TimePoint now) const;
  net::awaitable<void> Probe(BackendPtr backend);
  /// Whether nothing that was open to it is left: a full server refuses, too.
  bool NothingOpen(const Backend& backend);

  GatewayState& state_;
  Options options_;
  Timer timer_;
  std::size_t running_ = 0;
};

}  // namespace ridgehold
