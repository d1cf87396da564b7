#include "path_check.h"

#include <algorithm>

#include "bounds.h"

namespace ridgehold::soak {

void PathCheck::BeginCut(const InstanceProcess& process) {
  Cut& cut = cuts_[&process];
  if (++cut.active == 1) cut.since = Clock::now();
}

void PathCheck::EndCut(const InstanceProcess& process) {
  Cut& cut = cuts_[&process];
  --cut.active;
  cut.until = Clock::now();
}

const PathCheck::Cut* PathCheck::Find(int process) const {
  const auto found = std::ranges::find_if(
      cuts_, [&](const auto& entry) { return entry.first->serial() == process; });
  return found == cuts_.end() ? nullptr : &found->second;
}

void PathCheck::Ended(const RequestRecord& request, bool served) {
  const bool counts = calm_.only_paths() && calm_.last_other_end() + kContact < request.sent;
  const Cut* cut = Find(request.process);
  if (!counts || cut == nullptr) return;
  if (cut->active == 0) {
    if (cut->until + kContact >= request.sent) return;
    ++others_.sent;
    others_.served += served ? 1 : 0;
  } else if (cut->since + kContact < request.sent && HasSoundInstance(request.sent)) {
    ++cut_off_.sent;
    cut_off_.served += served ? 1 : 0;
  }
}

bool PathCheck::HasSoundInstance(TimePoint sent) const {
  return std::ranges::any_of(cuts_, [&](const auto& entry) {
    return entry.second.active == 0 && entry.second.until + kContact < sent;
  });
}

void PathCheck::Judge() {
  constexpr int kAllowedFailures = 10;
  constexpr int kAllowedPart = 50;  // one in so many more
  constexpr double kLeastRatio = 2.0 / 3;
  if (cut_off_.sent == 0) return;
  const int failed = cut_off_.sent - cut_off_.served;
  const double share = static_cast<double>(cut_off_.served) / cut_off_.sent;
  const double other_share =
      others_.sent == 0 ? 1 : static_cast<double>(others_.served) / others_.sent;
  const bool kept = share >= kLeastRatio * other_share ||
                    failed <= kAllowedFailures + cut_off_.sent / kAllowedPart;
  if (kept) return;
  verdict_.Fail("instances without a way to the engines serve too few", "all",
                std::to_string(cut_off_.served) + " of " + std::to_string(cut_off_.sent) +
                    ", the others " + std::to_string(others_.served) + " of " +
                    std::to_string(others_.sent));
}

}  // namespace ridgehold::soak
