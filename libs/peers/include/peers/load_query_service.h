// Queries the trackers of backend servers, and answers queries about those tracked by this gateway.

#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "gateway/gateway_state.h"
#include "net/timer.h"
#include "peers/load_messages.h"
#include "peers/peer_loads.h"
#include "peers/query_numbers.h"
#include "peers/tracker_map.h"

namespace ridgehold {

/// A query is sent once to each tracker, as a datagram; trackers that do not answer in time are
/// left out of the result. Runs on one executor, and must live as long as it runs.
class LoadQueryService {
 public:
  struct Options {
    DaemonId self;
    std::string address;  ///< without a port
    /// A round trip between zones takes 2 to 6 ms, and a gateway limited to an eighth of a core may
    /// be busy with a request for about 10 ms. This is a tenth of what a call may take in total.
    std::chrono::milliseconds timeout{15};
    /// The same if a tracker in another region is queried, where a round trip takes 40 ms.
    std::chrono::milliseconds other_region_timeout{120};
  };

  /// Sends a datagram to a gateway.
  using SendTo = std::function<void(const TrackerMap::Gateway& gateway, const std::string& bytes)>;

  LoadQueryService(GatewayState& state, const PeerLoads& loads, TrackerMap& trackers,
                   Options options, SendTo send)
      : state_(state),
        loads_(loads),
        trackers_(trackers),
        options_(std::move(options)),
        send_(std::move(send)) {}

  net::awaitable<LoadAnswer> Query(LoadQuestion question);

  /// Answers a query with what this gateway knows.
  LoadAnswerMessage Answer(const LoadQuestionMessage& question, TimePoint now) const;

  /// Handles an answer from the gateway at `address`.
  void HandleAnswer(const LoadAnswerMessage& answer, const std::string& address);

 private:
  /// A query that awaits answers.
  struct Pending {
    explicit Pending(net::any_io_executor executor) : timer(executor) {}

    LoadAnswer answer;
    std::set<std::string> waiting;  ///< addresses
    Timer timer;
  };
  /// The part of a query that goes to one tracker.
  struct Part {
    const TrackerMap::Gateway* tracker = nullptr;
    LoadQuestionMessage message;
  };

  std::map<std::string, Part> SplitByTracker(const LoadQuestion& question, TimePoint now) const;
  /// How long to wait for the answers of the trackers that `parts` go to.
  std::chrono::milliseconds TimeoutFor(const std::map<std::string, Part>& parts) const;
  static void MergeInto(LoadAnswer& answer, const LoadAnswerMessage& message);
  void RecordUnanswered(const Pending& pending, TimePoint now);

  GatewayState& state_;
  const PeerLoads& loads_;
  TrackerMap& trackers_;
  Options options_;
  SendTo send_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
  QueryNumbers query_numbers_;
};

}  // namespace ridgehold
