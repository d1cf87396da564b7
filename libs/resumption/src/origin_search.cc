#include "resumption/origin_search.h"

namespace ridgehold {

void OriginSearch::Add(const OriginAnswer& answer) {
  ++answers_;
  several_ = several_ || answer.several_releases;
  if (answer.release) {
    conflict_ = conflict_ || (release_ && release_ != answer.release);
    release_ = answer.release;
  }
  const auto& single = answer.only_release ? answer.only_release : answer.supposed_release;
  if (!single) return;
  several_ = several_ || (single_ && single_ != single);
  single_ = single;
  ++agreeing_;
}

bool OriginSearch::IsRefuted() const {
  return conflict_ || several_ || !own_.single || (single_ && single_ != own_.single);
}

bool OriginSearch::IsUnanimous() const { return asked_ > 0 && agreeing_ == asked_; }

OriginFinding OriginSearch::Conclude() const {
  if (release_ && !conflict_) return {OriginSource::kPeer, release_, {}};
  if (IsRefuted() || !IsUnanimous()) return {};
  return {OriginSource::kSingleRelease, own_.single, {}};
}

}  // namespace ridgehold
