// Pushback that a backend server has signalled, and the resulting send restrictions.

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "gateway/backend_pushback.h"
#include "gateway/peer_backoffs.h"
#include "gateway/pushback_update.h"

namespace ridgehold {

/// Pushback of one incarnation of a backend server, as known at one gateway. A rate limit applies
/// to all gateways together and a shutdown announcement to each of them, so both are shared with
/// peers. A back-off applies to the gateway it was requested from; peers only prefer other servers.
/// Only a back-off expires by itself: while a limit is known, each request needs a permit, and its
/// response shows whether the limit still applies.
///
/// Not thread-safe; time comes in as a value.
class PushbackState {
 public:
  /// Applies the pushback in the response to a request sent at `sent`. Returns whether it must be
  /// shared with the other gateways.
  bool ApplyPushback(const BackendPushback& pushback, TimePoint sent, TimePoint now);

  /// Applies an update from another gateway. Returns whether the sender's state is older than this
  /// one.
  bool ApplyUpdate(const PushbackUpdate& update, TimePoint now);
  PushbackUpdate ToUpdate(BackendHash backend) const;

  /// Records that another gateway was asked to back off until `until`. Returns whether this
  /// deprioritizes the server and it was not deprioritized before.
  bool RecordPeerBackoff(std::uint64_t gateway, TimePoint until, TimePoint now);
  /// Until then the server is chosen last: it has asked two or more peers to back off, and this
  /// gateway has received no response without a back-off since.
  TimePoint deprioritized_until() const { return peer_backoffs_.BothUntil(); }
  /// Whether peers should be informed of the back-off requested from this gateway.
  bool ShouldShareBackoff(TimePoint now) const {
    return now < backoff_until_ && now >= deprioritized_until();
  }

  /// Returns whether a broadcast to peers begins now. Returns false while one is in progress: it
  /// repeats the state current at that time, and some servers change their limit in each response.
  bool TryBeginBroadcast(TimePoint now);

  const std::optional<RequestRate>& limit() const { return limit_; }
  /// When the current limit period began, as known here; only meaningful while there is a limit.
  TimePoint limited_since() const { return limited_since_; }
  std::uint64_t number() const { return number_; }
  bool leaving() const { return leaving_; }
  /// When this gateway last received a response.
  TimePoint last_response_at() const { return last_response_at_; }
  TimePoint backoff_until() const { return backoff_until_; }

  /// No request is sent before this time; in the past if requests are allowed.
  TimePoint blocked_until() const;
  bool BlocksRequests(TimePoint now) const { return leaving_ || now < blocked_until(); }

  /// Takes over a back-off that was requested under the same id. Which process has asked for it is
  /// not known: registrations arrive later than responses.
  void KeepBackoff(TimePoint until) { backoff_until_ = std::max(backoff_until_, until); }

  /// Blocks the server until `until` because no permit is available before.
  void BlockUntilPermit(TimePoint until);

  /// Returns whether a request may be sent without a permit when no quota holder can be reached,
  /// see FallbackSlots.
  bool TryUseFallbackSlot(BackendHash backend, std::uint64_t gateway, std::uint32_t gateways,
                          TimePoint now);

 private:
  void SetLimit(const std::optional<RequestRate>& limit, TimePoint now);

  std::optional<RequestRate> limit_;
  bool leaving_ = false;
  std::uint64_t number_ = 0;  ///< of `limit_` and `leaving_`
  TimePoint changed_at_{};    ///< when they were last changed here
  TimePoint limited_since_{};
  TimePoint broadcast_started_at_{};
  TimePoint last_response_at_{};
  TimePoint backoff_until_{};
  PeerBackoffs peer_backoffs_;
  TimePoint last_peer_backoff_at_{};
  TimePoint permit_blocked_until_{};
  std::int64_t last_fallback_slot_ = -1;  ///< last slot that was used
};

}  // namespace ridgehold
