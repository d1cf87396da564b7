// The requests that a daemon is serving right now.

#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "base/ids.h"
#include "config/entities.h"

namespace ridgehold {

/// One request in flight, for `show requests`.
struct InFlightRequest {
  RequestId id;
  WorkspaceId workspace;
  std::string target;
  TimePoint since;
};

/// Admission and the list of what was admitted, together under one mutex.
/// Thread-safe; the mutex is the last in any lock order.
class InFlightTable {
 public:
  explicit InFlightTable(std::uint32_t max_in_flight) : admission_(max_in_flight) {}

  /// Admits a request, or says why not.
  std::optional<Refusal> Enter(const Workspace& workspace, const InFlightRequest& request) {
    const std::lock_guard lock(mutex_);
    const auto refusal =
        admission_.Enter(workspace.id, {workspace.share, workspace.max_streams}, request.since);
    if (!refusal) requests_[request.id] = request;
    return refusal;
  }

  /// An admitted request has ended.
  void Leave(const RequestId& id, TimePoint now) {
    const std::lock_guard lock(mutex_);
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const auto took = std::chrono::duration_cast<Duration>(now - found->second.since);
    admission_.Leave(found->second.workspace, took);
    requests_.erase(found);
  }

  std::vector<InFlightRequest> List() const {
    const std::lock_guard lock(mutex_);
    std::vector<InFlightRequest> list;
    for (const auto& [id, request] : requests_) list.push_back(request);
    return list;
  }

  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return requests_.size();
  }

 private:
  mutable std::mutex mutex_;
  Admission admission_;                            // guarded by mutex_
  std::map<RequestId, InFlightRequest> requests_;  // guarded by mutex_
};

}  // namespace ridgehold
