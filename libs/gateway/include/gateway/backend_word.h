// What a backend server has asked of the gateways, and what may be sent there meanwhile.

#pragma once

#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "gateway/backend_news.h"
#include "gateway/backend_notice.h"
#include "gateway/rests_of_others.h"

namespace ridgehold {

/// Of one incarnation of a backend server, as one gateway knows it. A limit binds all
/// gateways together and a leaving each of them, so those are told to others; a rest binds
/// the one that it was asked of, and others prefer to heed it. None of it lapses by itself but a
/// rest: where a limit is known each request needs a permit, and its answer tells whether the limit
/// holds on.
///
/// Not thread-safe; time comes in as a value.
class BackendWord {
 public:
  /// Takes the notice of an answer to a request that was sent at `sent`. Returns whether
  /// the other gateways should hear of it.
  bool TakeNotice(const BackendNotice& notice, TimePoint sent, TimePoint now);

  /// Takes what another gateway tells. Returns whether that one knows less than this.
  bool TakeNews(const BackendNews& news, TimePoint now);
  BackendNews News(BackendHash backend) const;

  /// It has asked another gateway for rest until then. Returns whether it is doubted anew.
  bool NoteRestOfOther(std::uint64_t gateway, TimePoint until, TimePoint now);
  /// It is chosen last before: it has asked several others for rest, and this gateway has
  /// seen no other answer since.
  TimePoint doubted_until() const { return others_.TwoUntil(); }
  /// Whether others should hear of the rest asked of this gateway.
  bool TellsRest(TimePoint now) const { return now < rest_until_ && now >= doubted_until(); }

  /// Whether the others are to be told from now on. Not while they are being told, which
  /// repeats the word as it is then: some servers change their limit with each answer.
  bool BeginTelling(TimePoint now);

  const std::optional<RequestRate>& limit() const { return limit_; }
  /// When it named its limit first, as far as is known here; only while there is one.
  TimePoint limited_since() const { return limited_since_; }
  std::uint64_t number() const { return number_; }
  bool leaving() const { return leaving_; }
  /// When the last notice came to this gateway.
  TimePoint heard_at() const { return heard_at_; }
  TimePoint rest_until() const { return rest_until_; }

  /// Nothing is to be sent there before; long past if anything may.
  TimePoint barred_until() const;
  bool Bars(TimePoint now) const { return leaving_ || now < barred_until(); }

  /// There is no permit before `until`.
  void NoteNoPermit(TimePoint until);

  /// Whether a request may be sent although nobody counts, see UncountedTurns.
  bool TakeUncounted(BackendHash backend, std::uint64_t gateway, std::uint32_t gateways,
                     TimePoint now);

 private:
  void SetLimit(const std::optional<RequestRate>& limit, TimePoint now);

  std::optional<RequestRate> limit_;
  bool leaving_ = false;
  std::uint64_t number_ = 0;  ///< of the limit and the leaving
  TimePoint known_at_{};      ///< since when they are known here
  TimePoint limited_since_{};
  TimePoint told_from_{};
  TimePoint heard_at_{};
  TimePoint rest_until_{};
  RestsOfOthers others_;
  TimePoint others_heard_at_{};
  TimePoint no_permit_until_{};
  std::int64_t uncounted_turn_ = -1;  ///< the last one used
};

}  // namespace ridgehold
