// A whole ridgehold daemon inside one process.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"
#include "settings/settings.h"

namespace ridgehold {

/// Starts listening on Create. Destroying it stops at once; for a graceful
/// end call BeginShutdown and wait until Drained.
class Daemon {
 public:
  static Result<std::unique_ptr<Daemon>> Create(const Settings& settings);
  ~Daemon();

  std::uint16_t caller_port() const;
  std::uint16_t operator_port() const;
  std::string peer_address() const;
  std::string caller_url() const;
  std::string operator_url() const;

  /// Whether requests can be served: configuration and cache picture are there.
  bool Ready() const;

  /// Not ready from now on; requests are still served while the balancer
  /// notices. Calling it again changes nothing.
  void BeginShutdown();

  /// Whether the lame-duck time is over and no request is in flight.
  bool Drained() const;

  /// The daemon's whole state as JSON.
  std::string Dump() const;

 private:
  struct Impl;
  explicit Daemon(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ridgehold
