// Applies decoded store items to the instance's routing state.

#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "control/decoded_item.h"
#include "control/instance_records.h"
#include "control/store_connectivity.h"
#include "gateway/gateway_state.h"

namespace ridgehold {

/// Logs one line for each change that it applies. Not thread-safe.
class StoreItemApplier {
 public:
  StoreItemApplier(GatewayState& state, InstanceRecords& records)
      : state_(state), records_(records) {}

  /// When an item was written to the store, as far as is known.
  struct WriteTime {
    TimePoint at{};
    bool assumed = false;  ///< `at` is the earliest possible time or a default
  };

  /// A registration of a full listing.
  struct ListedBackend {
    BackendEntry entry;
    StoreRevision revision;  ///< of its key
  };

  /// Applies `value`, the decoded content of `item`.
  void Apply(const StoreItem& item, DecodedItem value, const WriteTime& written);

  /// Applies a key that the instances write themselves (kInstanceKeyPrefix).
  void ApplyInstanceKey(const StoreItem& item);
  void RemoveInstanceKey(const std::string& key);
  /// Updates the number of live instances after a batch of changes.
  void UpdateMemberCount();

  /// Handles a removed key that is neither a registration nor an instance's.
  void RemoveOrder(const std::string& key);
  /// Drops all release orders, before a full listing is applied.
  void ClearReleaseOrders();

  /// Handles a removed registration. The backend server stays in use for `grace`; see
  /// BackendDirectory::Remove.
  void RemoveBackend(const BackendId& id, Duration grace, TimePoint now);

  /// Stops sending new requests to a backend server whose registration cannot be decoded, since the
  /// previous value may no longer hold.
  void RejectBackend(const BackendId& id, TimePoint now);

  /// Replaces all backend servers by the registrations of a full listing, all at once: their order
  /// there says nothing. Those that are missing from it stay in use for `grace`.
  void ReplaceBackends(const std::vector<ListedBackend>& listed, Duration grace, TimePoint now);

  /// Counts and logs a value that cannot be decoded. Nothing else changes.
  void Reject(const StoreItem& item, const Failure& failure);

 private:
  void ApplyConfig(const StoreItem& item, RoutingConfig parts);
  void ApplyWeights(const DesiredWeights& order, const WriteTime& written);
  /// Keeps requests away from the target release: whether it works is not known, and nothing yet
  /// moves the traffic step by step.
  void ApplyRelease(const StoreItem& item, const ReleaseOrder& order);
  void ApplyBackend(const StoreItem& item, const BackendEntry& entry);
  /// How a backend server is known before a registration of it is applied.
  struct KnownBackend {
    bool is_new = true;
    bool draining = false;
    bool lapsed = false;
  };
  KnownBackend FindKnown(const BackendId& id) const;
  /// Closes the connections of an earlier process and logs the change.
  void OnRegistration(const ListedBackend& backend, const KnownBackend& known,
                      Registration registration);
  void ApplyQuarantine(const StoreItem& item);
  /// Returns whether another malformed value may be logged. A faulty writer could fill the log; the
  /// metrics count every value.
  bool MayLogRejection(TimePoint now);

  static constexpr std::chrono::seconds kRejectionWindow{10};
  static constexpr int kMaxLoggedRejections = 20;  ///< per kRejectionWindow

  GatewayState& state_;
  InstanceRecords& records_;
  std::map<std::string, ServiceId> release_orders_;  ///< by key
  TimePoint rejection_window_start_{};
  int logged_rejections_ = 0;
};

}  // namespace ridgehold
