// Acquires tokens for an instance's own requests from the holders of the quota shares.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "quota/quota_messages.h"

namespace ridgehold {

/// The tokens that a request needs.
struct QuotaDemand {
  QuotaSubject subject;
  std::uint64_t tokens = 0;
  QuotaLimits limits;
  /// While no holder answers, acquisition is retried until this deadline: a share is taken over
  /// within about 100 ms, and callers that are refused at once would retry earlier and add load.
  TimePoint deadline{};
  /// Replaces `deadline` during QuotaClient::Options::recovery_window.
  TimePoint recovery_deadline{};
};

/// Granted tokens, to be refunded if the request does not run.
struct QuotaTicket {
  QuotaRequestId id;
  std::string holder;  ///< address

  bool operator==(const QuotaTicket&) const = default;
};

/// The result of an acquisition.
struct QuotaOutcome {
  QuotaVerdict verdict = QuotaVerdict::kNotHolder;  ///< kNotHolder: no holder answered
  QuotaTicket ticket;
  Duration retry_after{0};
  int messages_sent = 0;

  bool operator==(const QuotaOutcome&) const = default;
};

/// Asks the holder of this zone's share first, and the other holders if that one is unknown or does
/// not answer. A refund is sent to a holder that timed out, and its late grants are ignored. Once
/// every holder was tried, a new round begins, until the demand's deadline.
///
/// A state machine without I/O: messages and time are passed in, messages are returned. Not
/// thread-safe.
class QuotaClient {
 public:
  struct Options {
    std::uint32_t shares = 1;  ///< per quota; one for each availability zone
    /// Retransmission interval, since datagrams may be lost. A reply takes 0.2 ms within a zone and
    /// up to 6 ms between zones, but an instance limited to an eighth of a core may be busy with
    /// another request for about 10 ms.
    std::chrono::milliseconds resend_interval{12};
    /// Time after which the next holder is asked. An instance that is throttled at its CPU limit
    /// stops for 90 ms, and non-streaming calls have a latency objective of 100 ms.
    std::chrono::milliseconds holder_timeout{36};
    /// A holder that timed out is asked last for this long.
    std::chrono::milliseconds holder_cooldown{1'000};
    /// Delay between rounds; shorter than a takeover of a share.
    std::chrono::milliseconds round_interval{25};
    /// A killed holder restarts within this time and reclaims its own share. No other instance can
    /// take the share before the lease expires, which takes longer than callers wait.
    std::chrono::milliseconds recovery_window{2'000};
    /// After a shorter outage the holders are assumed to have been busy, with their buckets intact.
    std::chrono::milliseconds min_outage{250};

    bool operator==(const Options&) const = default;
  };

  /// `incarnation` is unique to each process.
  QuotaClient(Options options, std::uint64_t incarnation)
      : options_(options), scale_(options.shares), incarnation_(incarnation) {}

  /// Sets the addresses of the share holders. `own` is the holder in this instance's zone, empty if
  /// there is none; `others` are the holders in the other zones.
  void SetHolders(std::string own, std::vector<std::string> others);

  /// Starts an acquisition and returns its id. TakeOutcome() may have a result at once.
  std::uint64_t Start(const QuotaDemand& demand, TimePoint now, QuotaOutbox& outbox);
  /// Retransmits, or asks the next holder, if that is due.
  QuotaOutbox Tick(std::uint64_t acquisition_id, TimePoint now);
  TimePoint NextTick(std::uint64_t acquisition_id) const;
  QuotaOutbox Handle(const QuotaReply& reply, const std::string& from, TimePoint now);

  /// Returns the acquisition that sent this request, so that its waiter can be woken.
  std::optional<std::uint64_t> FindAcquisition(const QuotaRequestId& id) const;
  /// Removes and returns the result; nullopt while the acquisition is in progress.
  std::optional<QuotaOutcome> TakeOutcome(std::uint64_t acquisition_id);

  /// Refunds the tokens of a request that has not run and will not run.
  static QuotaOutbox Refund(const QuotaTicket& ticket);

  bool operator==(const QuotaClient&) const = default;

 private:
  struct Acquisition {
    QuotaRequest request;
    TimePoint deadline{};
    TimePoint recovery_deadline{};
    std::vector<std::string> remaining_holders;  ///< in reverse order: the next is the last
    std::string holder;                          ///< empty between two rounds
    TimePoint asked_at{};                        ///< when this holder was first asked
    TimePoint next{};
    int messages_sent = 0;
    std::optional<QuotaOutcome> outcome;

    bool operator==(const Acquisition&) const = default;
  };

  void AskNextHolder(Acquisition& acquisition, TimePoint now, QuotaOutbox& outbox);
  /// Called when every holder was tried in this round.
  void FinishRound(Acquisition& acquisition, TimePoint now);
  /// Restarted holders begin with empty buckets and receive all waiting requests at once, so a
  /// refusal shortly after an outage does not mean that the workspace exceeds its quota.
  bool ShouldRetryForTokens(const Acquisition& acquisition, const QuotaReply& reply,
                            TimePoint now) const;
  void ScheduleRound(Acquisition& acquisition, TimePoint until);
  static void Finish(Acquisition& acquisition, QuotaOutcome outcome);
  std::vector<std::string> HoldersInOrder(TimePoint now) const;
  Acquisition* Find(const QuotaRequestId& id);

  Options options_;
  QuotaScale scale_;
  std::uint64_t incarnation_;
  std::string own_holder_;
  std::vector<std::string> other_holders_;
  std::map<std::string, TimePoint> cooldown_until_;  ///< by holder
  std::optional<TimePoint> outage_since_;            ///< first round without a reply
  std::optional<TimePoint> recovering_since_;        ///< first reply after an outage
  std::map<std::uint64_t, Acquisition> acquisitions_;
  std::uint64_t last_acquisition_ = 0;
  std::uint64_t last_request_ = 0;
};

}  // namespace ridgehold
