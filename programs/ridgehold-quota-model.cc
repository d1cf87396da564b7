// Plays ways of holding quotas against faults in virtual time; writes CSV.

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <vector>

#include "model/quota_ways.h"

namespace ridgehold::model {
namespace {

/// The sum of one play with all seeds, as a line.
void PlayAll(std::size_t instances, QuotaTrouble trouble, QuotaWay way, std::uint32_t seeds) {
  QuotaPlayOutcome sum;
  std::uint32_t over = 0;
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    const QuotaPlayOutcome one = PlayQuota({way, trouble, instances, seed});
    sum.requests += one.requests;
    sum.within += one.within;
    sum.within_refused += one.within_refused;
    sum.messages += one.messages;
    sum.asking_median_ms += one.asking_median_ms / seeds;
    sum.asking_p99_ms = std::max(sum.asking_p99_ms, one.asking_p99_ms);
    sum.worst_window = std::max(sum.worst_window, one.worst_window);
    if (one.worst_window > 1) ++over;
  }
  const double refused =
      1'000.0 * static_cast<double>(sum.within_refused) / static_cast<double>(sum.within);
  const double messages = static_cast<double>(sum.messages) / static_cast<double>(sum.requests);
  std::cout << fmt::format("{},{},{},{},{:.3f},{:.3f},{},{:.2f},{:.1f},{:.2f}\n", instances,
                           NameOf(way), NameOf(trouble), sum.requests, refused, sum.worst_window,
                           over, sum.asking_median_ms, sum.asking_p99_ms, messages);
}

}  // namespace
}  // namespace ridgehold::model

int main(int argc, char** argv) {
  using ridgehold::model::AllQuotaTroubles;
  using ridgehold::model::AllQuotaWays;
  using ridgehold::model::PlayAll;
  using ridgehold::model::QuotaTrouble;
  using ridgehold::model::QuotaWay;
  std::vector<std::size_t> instances = {90};
  std::uint32_t seeds = 1;
  CLI::App app("Plays ways of holding quotas against faults in virtual time");
  app.add_option("--instances", instances, "Sizes of the fleet")->capture_default_str();
  app.add_option("--seeds", seeds, "Seeds of each play")->check(CLI::Range(1, 1'000));
  CLI11_PARSE(app, argc, argv);
  std::cout << "instances,way,trouble,requests,within_refused_per_mille,worst_window,"
               "worst_windows_over,asking_median_ms,asking_p99_ms,messages_a_request\n";
  for (const std::size_t count : instances) {
    for (const QuotaTrouble trouble : AllQuotaTroubles()) {
      for (const QuotaWay way : AllQuotaWays()) {
        PlayAll(count, trouble, way, seeds);
        std::cout.flush();
      }
    }
  }
  return 0;
}
