// Gets tokens for an instance's own requests from whoever holds shares of the quotas.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "quota/quota_messages.h"

namespace ridgehold {

/// What a request needs.
struct QuotaDemand {
  QuotaSubject subject;
  std::uint64_t tokens = 0;
  QuotaTerms terms;
  /// While no holder answers, asking goes on until then: a share changes hands in some
  /// 100 ms. Refused at once, callers would come back before that and add to the load.
  TimePoint patience_until{};
  /// The same while holders may be back soon, see QuotaClient::Options::takeover.
  TimePoint long_patience_until{};
};

/// Tokens that were granted, to be given back if the request does not run.
struct QuotaTicket {
  QuotaRequestId id;
  std::string holder;  ///< address

  bool operator==(const QuotaTicket&) const = default;
};

/// How asking has ended.
struct QuotaOutcome {
  QuotaVerdict verdict = QuotaVerdict::kNotHolder;  ///< kNotHolder: nobody has answered
  QuotaTicket ticket;
  Duration retry_after{0};
  int asked = 0;  ///< messages sent

  bool operator==(const QuotaOutcome&) const = default;
};

/// Asks the holder of the own zone's share first, and the others if that one is not
/// known or does not answer. A holder that is given up on is sent a refund, and what it
/// grants after that is not used. When none is left, all are asked again for as long as
/// the demand's patience lasts.
///
/// A state machine: messages and time come in, messages go out. Not thread-safe.
class QuotaClient {
 public:
  struct Options {
    std::uint32_t shares = 1;  ///< of a quota, one for each availability zone
    /// An answer within a zone takes 0.2 ms and one between zones up to 6, but an
    /// instance with an eighth of a core is at another request for some 10 ms. A
    /// datagram may be lost: the same request is sent again.
    std::chrono::milliseconds resend{12};
    /// Then the next holder is asked: a capped core stands still for 90 ms, and plain
    /// calls have an objective of 100 ms.
    std::chrono::milliseconds give_up{36};
    /// One that has not answered is asked last for so long.
    std::chrono::milliseconds silence{1'000};
    /// Until all are asked again. Less than what a share takes to change hands.
    std::chrono::milliseconds between_rounds{25};
    /// A holder that was killed is back within this and takes its own share. Nobody else
    /// can have it before a lease has ended, which takes longer than callers wait.
    std::chrono::milliseconds takeover{2'000};
    /// Holders that were silent for less were busy, and have kept their buckets.
    std::chrono::milliseconds least_outage{250};

    bool operator==(const Options&) const = default;
  };

  /// `incarnation` differs for each process.
  QuotaClient(Options options, std::uint64_t incarnation)
      : options_(options), scale_(options.shares), incarnation_(incarnation) {}

  /// The holders by zone; `own` is the own zone's, empty if there is none.
  void SetHolders(std::string own, std::vector<std::string> others);

  /// Begins to ask; returns the number by which it goes on. Done may hold at once.
  std::uint64_t Begin(const QuotaDemand& demand, TimePoint now, QuotaOutbox& outbox);
  /// Sends again, or asks the next holder, when it is time.
  QuotaOutbox Tick(std::uint64_t number, TimePoint now);
  TimePoint NextTick(std::uint64_t number) const;
  QuotaOutbox Take(const QuotaReply& reply, const std::string& from, TimePoint now);

  /// The number whose request this was, so that whoever waits for it can be woken.
  std::optional<std::uint64_t> NumberOf(const QuotaRequestId& id) const;
  /// How it ended, taken out; nothing while it goes on.
  std::optional<QuotaOutcome> TakeOutcome(std::uint64_t number);

  /// The request of a ticket has not run and never will.
  static QuotaOutbox GiveBack(const QuotaTicket& ticket);

  bool operator==(const QuotaClient&) const = default;

 private:
  struct Asking {
    QuotaRequest request;
    TimePoint patience_until{};
    TimePoint long_patience_until{};
    std::vector<std::string> holders_left;  ///< the next one is the last
    std::string holder;                     ///< empty between two rounds
    TimePoint began{};                      ///< to ask this holder
    TimePoint next{};
    int sent = 0;
    std::optional<QuotaOutcome> outcome;

    bool operator==(const Asking&) const = default;
  };

  void AskNext(Asking& asking, TimePoint now, QuotaOutbox& outbox);
  /// Nobody is left to be asked in this round.
  void EndRound(Asking& asking, TimePoint now);
  /// Holders that are back begin with empty buckets, and what waited for them comes at
  /// once: a refusal then does not mean that the workspace is over its quota.
  bool MayWaitForTokens(const Asking& asking, const QuotaReply& reply, TimePoint now) const;
  void Pause(Asking& asking, TimePoint until);
  static void End(Asking& asking, QuotaOutcome outcome);
  std::vector<std::string> HoldersInTurn(TimePoint now) const;
  Asking* Find(const QuotaRequestId& id);

  Options options_;
  QuotaScale scale_;
  std::uint64_t incarnation_;
  std::string own_;
  std::vector<std::string> others_;
  std::map<std::string, TimePoint> silent_until_;  ///< by holder
  std::optional<TimePoint> out_since_;             ///< nobody has answered a round since then
  std::optional<TimePoint> back_since_;            ///< the first answer after that
  std::map<std::uint64_t, Asking> asking_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_request_ = 0;
};

}  // namespace ridgehold
