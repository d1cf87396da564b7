// Asks the gateways that track backend servers, and answers for those tracked here.

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
#include "peers/tracker_map.h"

namespace ridgehold {

/// A question goes to each tracker once, as a datagram; what is not answered
/// within the limit is left open. Runs on one executor, as long as that does.
class LoadAsker {
 public:
  struct Options {
    DaemonId self;
    std::string address;  ///< without a port
    /// A round trip between zones takes 2 to 6 ms, and a gateway with an eighth of
    /// a core some 10 ms for a request that it is at; a tenth of what a call may
    /// take in all.
    std::chrono::milliseconds limit{15};
  };

  /// Sends a datagram to a gateway.
  using SendTo = std::function<void(const TrackerMap::Gateway& gateway, const std::string& bytes)>;

  LoadAsker(GatewayState& state, const PeerLoads& loads, TrackerMap& trackers, Options options,
            SendTo send)
      : state_(state),
        loads_(loads),
        trackers_(trackers),
        options_(std::move(options)),
        send_(std::move(send)) {}

  net::awaitable<LoadAnswer> Ask(LoadQuestion question);

  /// What this gateway knows of what it is asked about.
  LoadAnswerMessage Answer(const LoadQuestionMessage& question, TimePoint now) const;

  /// An answer has come from `address`.
  void Take(const LoadAnswerMessage& answer, const std::string& address);

 private:
  /// A question that waits for answers.
  struct Pending {
    explicit Pending(net::any_io_executor executor) : timer(executor) {}

    LoadAnswer answer;
    std::set<std::string> waiting;  ///< addresses
    Timer timer;
  };
  /// The parts of a question, by the tracker they go to.
  struct Part {
    const TrackerMap::Gateway* tracker = nullptr;
    LoadQuestionMessage message;
  };

  std::map<std::string, Part> Divide(const LoadQuestion& question, TimePoint now) const;
  static void AddTo(LoadAnswer& answer, const LoadAnswerMessage& message);
  void NoteUnanswered(const Pending& pending, TimePoint now);

  GatewayState& state_;
  const PeerLoads& loads_;
  TrackerMap& trackers_;
  Options options_;
  SendTo send_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
  std::uint64_t last_question_ = 0;
};

}  // namespace ridgehold
