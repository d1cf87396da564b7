#include "resumption/origin_search.h"

namespace ridgehold {

std::optional<OriginFinding> OriginSearch::WithoutAsking(const StreamOrigin* known,
                                                         const ReleaseHistory::Summary& own) {
  if (known != nullptr) return OriginFinding{OriginSource::kOwn, known->release};
  if (!own.complete || !own.single) return std::nullopt;
  return OriginFinding{OriginSource::kSingleRelease, own.single};
}

void OriginSearch::Add(const OriginAnswer& answer) {
  ++answers_;
  several_ = several_ || answer.several_releases;
  if (answer.release) release_ = answer.release;
}

OriginFinding OriginSearch::Conclude() const {
  if (release_) return {OriginSource::kPeer, release_};
  // A gateway that has just started relies on peers that have seen more.
  const bool answered = asked_ == 0 || answers_ > 0;
  if (answered && !several_ && own_.single) return {OriginSource::kSingleRelease, own_.single};
  return {};
}

}  // namespace ridgehold
