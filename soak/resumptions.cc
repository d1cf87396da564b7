#include "resumptions.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ridgehold::soak {

void Resumptions::Enable(std::function<int(const std::string&)> serving, bool judged, int tries) {
  serving_ = std::move(serving);
  judged_ = judged;
  tries_ = tries;
}

void Resumptions::Put(BrokenStream stream) {
  stream.tries_left = tries_;
  if (serving_) waiting_.push_back(std::move(stream));
}

void Resumptions::PutBack(BrokenStream stream) {
  constexpr std::chrono::milliseconds kPause{1'000};
  if (stream.tries_left-- <= 0) return;
  stream.not_before = Clock::now() + kPause;
  waiting_.push_back(std::move(stream));
}

std::optional<BrokenStream> Resumptions::Take() {
  const TimePoint now = Clock::now();
  const auto due = std::ranges::find_if(
      waiting_, [&](const BrokenStream& stream) { return stream.not_before <= now; });
  if (due == waiting_.end()) return std::nullopt;
  BrokenStream stream = std::move(*due);
  waiting_.erase(due);
  return stream;
}

void Resumptions::Ended(const std::string& release, bool began) {
  constexpr int kServing = 2;
  if (!release.empty()) {
    ++all_.sent;
    all_.began += began ? 1 : 0;
  }
  if (!release.empty() && serving_(release) < kServing) return;
  Count& count = release.empty() ? new_ : resumed_;
  ++count.sent;
  count.began += began ? 1 : 0;
}

void Resumptions::Judge() {
  constexpr int kLeast = 12;
  constexpr double kLeastRatio = 0.5;
  if (!judged_ || resumed_.sent < kLeast || new_.sent == 0) return;
  const double share = static_cast<double>(resumed_.began) / resumed_.sent;
  const double new_share = static_cast<double>(new_.began) / new_.sent;
  if (share >= kLeastRatio * new_share) return;
  verdict_.Fail("too few streams go on", "all",
                std::to_string(resumed_.began) + " of " + std::to_string(resumed_.sent) +
                    ", new ones " + std::to_string(new_.began) + " of " +
                    std::to_string(new_.sent));
}

}  // namespace ridgehold::soak
