#include "model/quota_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>

#include "quota/quota_client.h"
#include "quota/quota_holder.h"

namespace ridgehold::model {
namespace {

constexpr std::chrono::milliseconds kTick{10};
// Tokens a second and at once.
constexpr QuotaLimits kTerms{1, {100, 2}, {150, 1}};
constexpr QuotaLimits kLowered{2, {50, 1}, {50, 1}};
const TimePoint kStart{std::chrono::seconds(100)};
// Zone 0 has two instances that may hold its share, zone 1 one.
constexpr std::array<const char*, 3> kHolders = {"a1", "a2", "b1"};
constexpr std::size_t kFirstOfOtherZone = 2;
constexpr std::array<const char*, 2> kClients = {"c1", "c2"};

QuotaHolder::Options HolderOptions(std::uint32_t shares) {
  QuotaHolder::Options options;
  options.shares = shares;
  options.loan_timeout = kTick;
  return options;
}

QuotaClient::Options ClientOptions(std::uint32_t shares) {
  QuotaClient::Options options;
  options.shares = shares;
  options.resend_interval = kTick;
  options.holder_timeout = 2 * kTick;
  options.round_interval = kTick;
  return options;
}

/// A message on its way.
struct Flying {
  std::string from;
  QuotaOutgoing message;

  bool operator==(const Flying&) const = default;
};

/// A request that was granted and runs.
struct Run {
  TimePoint sent{};
  std::uint64_t tokens = 0;
  bool lowered = false;  ///< sent under the lowered quota

  bool operator==(const Run&) const = default;
};

/// A request of a client that is not over.
struct Asked {
  std::size_t client = 0;
  std::uint64_t number = 0;
  std::uint64_t tokens = 0;
  TimePoint sent{};
  bool lowered = false;

  bool operator==(const Asked&) const = default;
};

/// A grant that a client has given up on.
struct GivenUp {
  QuotaRequestId id;
  std::uint64_t tokens = 0;
  TimePoint sent{};
  bool lowered = false;

  bool operator==(const GivenUp&) const = default;
};

struct State {
  explicit State(const CheckerBounds& bounds)
      : holders(kHolders.size(), QuotaHolder(HolderOptions(bounds.shares))), left(bounds) {
    for (std::size_t i = 0; i < kClients.size(); ++i) {
      clients.emplace_back(ClientOptions(bounds.shares), 1'000 + i);
      TellHolder(i, kHolders[0]);
    }
  }

  bool HasOtherShare() const { return left.shares > 1; }

  /// Who holds the first zone's share.
  void TellHolder(std::size_t client, const char* holder) {
    std::vector<std::string> others;
    if (HasOtherShare()) others.emplace_back(kHolders[kFirstOfOtherZone]);
    clients[client].SetHolders(holder, std::move(others));
  }

  std::vector<QuotaHolder> holders;
  std::vector<QuotaClient> clients;
  std::vector<Flying> flying;
  std::vector<Asked> asked;
  std::vector<GivenUp> given_up;
  std::vector<Run> runs;
  std::array<std::optional<QuotaHolder::Lease>, kHolders.size()> takings;
  std::size_t holder_of_first = 0;  ///< which of zone 0's instances has the key
  std::uint64_t last_fencing = 0;
  TimePoint now = kStart;
  QuotaLimits terms = kTerms;
  CheckerBounds left;

  bool operator==(const State&) const = default;
};

QuotaAmount AllowedIn(Duration length, const RateLimit& rate) {
  return static_cast<QuotaAmount>(rate.tokens_per_s) * length.count() +
         QuotaScale(1).FromTokens(rate.burst);
}

/// What most states differ in; those that are alike in it are compared as a whole.
std::string KeyOf(const State& state) {
  const CheckerBounds& left = state.left;
  std::string key =
      fmt::format("{}|{},{},{},{},{},{},{},{},{}|{}|", (state.now - kStart).count(), left.asks,
                  left.ticks, left.late_ticks, left.losses, left.repeats, left.restarts,
                  left.handovers, left.lowerings, left.sleeps, state.runs.size());
  for (const Flying& one : state.flying) key += one.message.to + ToText(one.message.message) + "|";
  return key;
}

/// The order in which messages were sent has no effect.
void Normalize(State& state) {
  std::ranges::sort(state.flying, {}, [](const Flying& one) {
    return one.from + ">" + one.message.to + ToText(one.message.message);
  });
}

/// All that can happen next, and the check.
class Explorer {
 public:
  Explorer(const CheckerBounds& bounds, LeftOut left_out) : bounds_(bounds), left_out_(left_out) {}

  CheckerResult Explore() {
    State first(bounds_);
    // Long enough ago for full buckets.
    first.now = kStart - std::chrono::seconds(1);
    Take(first, 0);
    if (first.HasOtherShare()) Take(first, kFirstOfOtherZone);
    first.now = kStart;
    Visit(std::move(first), 0, "all shares are held");
    for (std::size_t at = 0; at < states_.size() && !violation_; ++at) {
      if (states_.size() >= bounds_.most_states) break;
      current_ = at;
      Expand(states_[at].state);
    }
    CheckerResult result;
    result.states = states_.size();
    result.whole = states_.size() < bounds_.most_states && !violation_;
    if (violation_) result.violation = WayTo(*violation_);
    return result;
  }

 private:
  struct Visited {
    State state;
    std::size_t parent = 0;
    std::string step;
  };

  void Visit(State state, std::size_t parent, std::string step) {
    Normalize(state);
    const std::string key = KeyOf(state);
    const auto [begin, end] = keys_.equal_range(key);
    for (auto known = begin; known != end; ++known) {
      if (states_[known->second].state == state) return;
    }
    keys_.emplace(key, states_.size());
    const bool bad = Exceeds(state);
    states_.push_back({std::move(state), parent, std::move(step)});
    if (bad && !violation_) violation_ = states_.size() - 1;
  }

  std::vector<std::string> WayTo(std::size_t at) const {
    std::vector<std::string> way;
    while (true) {
      way.push_back(states_[at].step);
      if (at == 0) break;
      at = states_[at].parent;
    }
    std::ranges::reverse(way);
    return way;
  }

  /// Whether more has run of what was sent in some stretch of time than the quota allows.
  static bool Exceeds(const State& state) {
    for (const Run& first : state.runs) {
      const QuotaLimits& terms = first.lowered ? kLowered : kTerms;
      std::uint64_t tokens = 0;
      for (const Run& run : state.runs) {
        if (run.sent >= first.sent && run.lowered >= first.lowered) tokens += run.tokens;
      }
      const auto length = std::chrono::duration_cast<Duration>(state.now - first.sent);
      const QuotaAmount allowed =
          std::max(AllowedIn(length, terms.bursting), AllowedIn(length, terms.steady));
      if (QuotaScale(1).FromTokens(tokens) > allowed) return true;
    }
    return false;
  }

  /// A copy of the state to change, and the step that leads to it.
  template <class Change>
  void Try(const State& state, std::string step, Change&& change) {
    State next = state;
    change(next);
    Visit(std::move(next), current_, std::move(step));
  }

  void Take(State& state, std::size_t holder) {
    state.takings[holder] = QuotaHolder::Lease{++state.last_fencing, state.now};
    Touch(state, holder);
  }

  /// The holder looks at its lease, as it does before each message.
  void Touch(State& state, std::size_t i) {
    std::optional<QuotaHolder::Lease> taking = state.takings[i];
    if (left_out_ == LeftOut::kNewTaking && taking) taking->fencing_token = i + 1;
    if (left_out_ == LeftOut::kLeaseEnds && !taking && state.holders[i].holding()) return;
    state.holders[i].SetLease(taking);
    if (!state.HasOtherShare()) return;
    const bool first_zone = i < kFirstOfOtherZone;
    state.holders[i].SetLenders(
        {first_zone ? kHolders[kFirstOfOtherZone] : kHolders[state.holder_of_first]});
  }

  void Expand(const State state) {  // a copy: the list of states grows meanwhile
    const std::size_t messages =
        bounds_.one_at_a_time ? std::min<std::size_t>(1, state.flying.size()) : state.flying.size();
    for (std::size_t i = 0; i < messages; ++i) ExpandMessage(state, i);
    const bool late = !state.flying.empty();
    if (state.left.ticks > 0 && (!late || state.left.late_ticks > 0)) ExpandTime(state);
    if (left_out_ == LeftOut::kLateIsVoid) ExpandLateUse(state);
    if (late && bounds_.one_at_a_time) return;
    if (state.left.asks > 0) ExpandAsks(state);
    if (state.left.handovers > 0) ExpandHandover(state);
    if (state.left.restarts > 0) ExpandRestarts(state);
    if (state.left.lowerings > 0) ExpandLowering(state);
  }

  void ExpandAsks(const State& state) {
    for (std::size_t client = 0; client < bounds_.clients; ++client) {
      for (std::uint64_t tokens = 1; tokens <= state.terms.bursting.burst; ++tokens) {
        Try(state, fmt::format("{} asks for {}", kClients[client], tokens), [&](State& next) {
          --next.left.asks;
          Ask(next, client, tokens);
        });
      }
    }
  }

  void ExpandLowering(const State& state) {
    Try(state, "the quota is lowered", [&](State& next) {
      --next.left.lowerings;
      next.terms = kLowered;
    });
  }

  void ExpandMessage(const State& state, std::size_t i) {
    const std::string text = state.flying[i].from + " to " + state.flying[i].message.to + ": " +
                             ToText(state.flying[i].message.message);
    Try(state, text, [&](State& next) {
      const Flying message = Removed(next, i);
      Deliver(next, message);
    });
    if (state.left.losses > 0) {
      Try(state, "lost, " + text, [&](State& next) {
        --next.left.losses;
        Removed(next, i);
      });
    }
    if (state.left.repeats > 0) {
      Try(state, "and once more, " + text, [&](State& next) {
        --next.left.repeats;
        Deliver(next, next.flying[i]);
      });
    }
  }

  void ExpandTime(const State& state) {
    Try(state, "10 ms pass", [&](State& next) { Pass(next, std::nullopt); });
    if (state.left.sleeps == 0) return;
    for (std::size_t asleep = 0; asleep < kHolders.size(); ++asleep) {
      Try(state, fmt::format("10 ms pass, {} is asleep", kHolders[asleep]), [&](State& next) {
        --next.left.sleeps;
        Pass(next, asleep);
      });
    }
  }

  /// The key of the first zone's share goes to its other instance, or back.
  void ExpandHandover(const State& state) {
    const std::size_t from = state.holder_of_first;
    const std::size_t to = 1 - from;
    Try(state, fmt::format("{}'s lease ends, {} takes the share", kHolders[from], kHolders[to]),
        [&](State& next) {
          --next.left.handovers;
          next.takings[from].reset();
          Touch(next, from);
          next.holder_of_first = to;
          Take(next, to);
          // The other client has not heard of it.
          next.TellHolder(0, kHolders[to]);
        });
  }

  void ExpandRestarts(const State& state) {
    std::vector<std::size_t> holders = {state.holder_of_first};
    if (state.HasOtherShare()) holders.push_back(kFirstOfOtherZone);
    for (const std::size_t i : holders) {
      Try(state, fmt::format("{} starts again", kHolders[i]), [&](State& next) {
        --next.left.restarts;
        next.holders[i] = QuotaHolder(HolderOptions(bounds_.shares));
        Take(next, i);
      });
    }
  }

  /// A grant that comes after its client has given up is used all the same.
  void ExpandLateUse(const State& state) {
    for (std::size_t i = 0; i < state.given_up.size(); ++i) {
      for (std::size_t m = 0; m < state.flying.size(); ++m) {
        const auto* reply = std::get_if<QuotaReply>(&state.flying[m].message.message);
        const bool granted = reply != nullptr && reply->id == state.given_up[i].id &&
                             reply->verdict == QuotaVerdict::kGranted;
        if (!granted) continue;
        Try(state, "a late grant is used", [&](State& next) {
          const GivenUp& used = next.given_up[i];
          next.runs.push_back({used.sent, used.tokens, used.lowered});
          Removed(next, m);
        });
      }
    }
  }

  static Flying Removed(State& state, std::size_t i) {
    Flying message = state.flying[i];
    state.flying.erase(state.flying.begin() + static_cast<std::ptrdiff_t>(i));
    return message;
  }

  static void Post(State& state, const std::string& from, const QuotaOutbox& outbox) {
    for (const QuotaOutgoing& message : outbox) state.flying.push_back({from, message});
  }

  void Ask(State& state, std::size_t client, std::uint64_t tokens) {
    QuotaOutbox outbox;
    QuotaDemand demand{QuotaSubject("w"), tokens, state.terms, {}, {}};
    demand.recovery_deadline = state.now + bounds_.patience * kTick;
    const std::uint64_t number = state.clients[client].Start(demand, state.now, outbox);
    const bool lowered = state.terms == kLowered;
    state.asked.push_back({client, number, tokens, state.now, lowered});
    Post(state, kClients[client], outbox);
    EndAsked(state);
  }

  void Deliver(State& state, const Flying& message) {
    const auto holder = std::ranges::find(kHolders, message.message.to);
    if (holder != kHolders.end()) {
      const auto i = static_cast<std::size_t>(holder - kHolders.begin());
      Touch(state, i);
      QuotaHolder& taker = state.holders[i];
      const QuotaMessage& body = message.message.message;
      if (const auto* request = std::get_if<QuotaRequest>(&body)) {
        Post(state, *holder, taker.Handle(*request, message.from, state.now));
      } else if (const auto* reply = std::get_if<QuotaReply>(&body)) {
        Post(state, *holder, taker.Handle(*reply, state.now));
      } else {
        Post(state, *holder, taker.Handle(std::get<QuotaRefund>(body), state.now));
      }
      return;
    }
    const auto client = std::ranges::find(kClients, message.message.to);
    const auto i = static_cast<std::size_t>(client - kClients.begin());
    const auto* reply = std::get_if<QuotaReply>(&message.message.message);
    if (reply == nullptr) return;
    Post(state, *client, state.clients[i].Handle(*reply, message.from, state.now));
    EndAsked(state);
  }

  void Pass(State& state, std::optional<std::size_t> asleep) {
    --state.left.ticks;
    if (!state.flying.empty()) --state.left.late_ticks;
    state.now += kTick;
    for (std::size_t i = 0; i < state.holders.size(); ++i) {
      if (i == asleep) continue;
      Touch(state, i);
      Post(state, kHolders[i], state.holders[i].Tick(state.now));
    }
    for (const Asked& asked : std::vector(state.asked)) {
      const QuotaOutbox outbox = state.clients[asked.client].Tick(asked.number, state.now);
      Post(state, kClients[asked.client], outbox);
      for (const QuotaOutgoing& message : outbox) {
        const auto* refund = std::get_if<QuotaRefund>(&message.message);
        if (refund != nullptr)
          state.given_up.push_back({refund->id, asked.tokens, asked.sent, asked.lowered});
      }
    }
    EndAsked(state);
  }

  /// Requests that were granted run; the second client's first small one does not, and is
  /// given back.
  void EndAsked(State& state) {
    std::erase_if(state.asked, [&](const Asked& asked) {
      const auto outcome = state.clients[asked.client].TakeOutcome(asked.number);
      if (!outcome) return false;
      if (outcome->verdict != QuotaVerdict::kGranted) return true;
      const bool runs = asked.tokens != 1 || asked.number != 1 || asked.client != 1;
      if (runs) state.runs.push_back({asked.sent, asked.tokens, asked.lowered});
      if (!runs || left_out_ == LeftOut::kRefundUnusedOnly) {
        Post(state, kClients[asked.client], QuotaClient::Refund(outcome->ticket));
      }
      return true;
    });
  }

  CheckerBounds bounds_;
  LeftOut left_out_;
  std::deque<Visited> states_;
  std::unordered_multimap<std::string, std::size_t> keys_;
  std::size_t current_ = 0;
  std::optional<std::size_t> violation_;
};

}  // namespace

CheckerResult CheckQuota(const CheckerBounds& bounds, LeftOut left_out) {
  return Explorer(bounds, left_out).Explore();
}

}  // namespace ridgehold::model
