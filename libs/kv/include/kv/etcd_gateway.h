// A client of etcd v3's published JSON gateway.

#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "kv/kv_types.h"

namespace ridgehold {

class HttpClient;
class Metrics;
class Transfer;

/// Satisfies KvStore. Each call is counted as `ridgehold_platform_calls`.
class EtcdGateway {
 public:
  /// `client` and `metrics` outlive the gateway. `url` has no trailing slash.
  EtcdGateway(HttpClient& client, Metrics& metrics, std::string url,
              std::chrono::milliseconds timeout);

  Result<std::optional<KvPair>> Get(const std::string& key);

  /// Returns every key from `first` up to, but without, `end`, in order.
  Result<std::vector<KvPair>> List(const std::string& first, const std::string& end);

  Result<KvTransactionAnswer> Commit(const KvTransaction& transaction);

  Result<LeaseId> GrantLease(std::chrono::seconds ttl);

  /// Returns whether the lease still lives.
  Result<bool> KeepAlive(LeaseId lease);

  /// Watches one key. `on_change` runs on the client's thread for each event;
  /// `on_end` once, when the watch has ended for any reason.
  std::shared_ptr<Transfer> Watch(const std::string& key, std::function<void()> on_change,
                                  std::function<void()> on_end);

 private:
  Result<std::string> Call(const char* kind, const std::string& path, std::string body,
                           bool writes);

  HttpClient& client_;
  Metrics& metrics_;
  std::string url_;
  std::chrono::milliseconds timeout_;
};

}  // namespace ridgehold
