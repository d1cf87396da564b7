// Takes what the store tells into the gateway's tables.

#pragma once

#include <chrono>
#include <string>

#include "base/result.h"
#include "control/decoded_item.h"
#include "control/instance_records.h"
#include "control/store_connectivity.h"
#include "gateway/gateway_state.h"

namespace ridgehold {

/// One line in the log for each change of belief. Not thread-safe.
class StoreItemApplier {
 public:
  StoreItemApplier(GatewayState& state, InstanceRecords& records)
      : state_(state), records_(records) {}

  /// When a fact was written, as far as is known.
  struct Writing {
    TimePoint at{};
    bool assumed = false;  ///< `at` is the earliest possible moment, or a guess
  };

  /// Takes a decoded fact; `item` is where it came from.
  void Take(const StoreItem& item, DecodedItem fact, const Writing& writing);

  /// A key of the gateways' own.
  void TakeOwn(const StoreItem& item);
  void RemoveOwn(const std::string& key);

  /// A registration is gone; see BackendDirectory::Remove for `grace`.
  void RemoveBackend(const BackendId& id, Duration grace, TimePoint now);

  /// A registration that cannot be read names nothing to use, whatever it named
  /// before: no new requests go there from now on.
  void RejectBackend(const BackendId& id, TimePoint now);

  /// All registrations of a full listing.
  void ReplaceBackends(const std::vector<BackendEntry>& entries, Duration grace, TimePoint now);

  /// A value that cannot be read; nothing else is touched.
  void Reject(const StoreItem& item, const Failure& failure);

 private:
  void TakeConfig(const StoreItem& item, RoutingParts parts);
  void TakeWeights(const DesiredWeights& order, const Writing& writing);
  void TakeBackend(const StoreItem& item, const BackendEntry& entry);
  void CountMembers();
  void TakeQuarantine(const StoreItem& item);
  /// Whether one more line about an unreadable value may be written: a faulty
  /// writer could fill the log. All are counted in the metrics.
  bool MayLogRejection(TimePoint now);

  static constexpr std::chrono::seconds kRejectionWindow{10};
  static constexpr int kMostRejectionLines = 20;  ///< in one window

  GatewayState& state_;
  InstanceRecords& records_;
  TimePoint rejections_since_{};
  int rejection_lines_ = 0;
};

}  // namespace ridgehold
