// What gateways tell each other of requests that may end backend servers.

#pragma once

#include <vector>

#include "gateway/gateway_gossip.h"
#include "gateway/request_fingerprint.h"

namespace ridgehold {

/// A backend server ended while the request was there.
struct EndNews {
  BackendHash backend = 0;
  RequestFingerprint request;

  bool operator==(const EndNews&) const = default;
};

/// Every item may be told any number of times.
struct PoisonNews {
  std::vector<EndNews> ends;
  std::vector<RequestFingerprint> survived;     ///< by a backend server, or released by hand
  std::vector<RequestFingerprint> quarantined;  ///< from now on

  bool empty() const { return ends.empty() && survived.empty() && quarantined.empty(); }
};

}  // namespace ridgehold
