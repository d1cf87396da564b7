#include "resumption/origin_search.h"

namespace ridgehold {

std::optional<OriginFinding> OriginSearch::WithoutAsking(const StreamOrigin* known,
                                                         const ReleaseHistory::Summary& own,
                                                         bool is_current) {
  if (known != nullptr) return OriginFinding{OriginSource::kOwn, known->release};
  if (!is_current || !own.IsSingle()) return std::nullopt;
  return OriginFinding{OriginSource::kSingleRelease, own.single};
}

void OriginSearch::Add(const OriginAnswer& answer) {
  ++answers_;
  several_ = several_ || answer.several_releases;
  if (answer.release) release_ = answer.release;
  if (!answer.only_release) return;
  several_ = several_ || (only_release_ && only_release_ != answer.only_release);
  only_release_ = answer.only_release;
}

OriginFinding OriginSearch::Conclude() const {
  if (release_) return {OriginSource::kPeer, release_};
  if (several_ || !own_.single) return {};
  // Gateways that have all just started know nothing of the releases before.
  const bool proved_by_peer = only_release_ == own_.single;
  const bool proved_here = !only_release_ && own_.IsSingle() && (asked_ == 0 || answers_ > 0);
  if (!proved_by_peer && !proved_here) return {};
  return {OriginSource::kSingleRelease, own_.single};
}

}  // namespace ridgehold
