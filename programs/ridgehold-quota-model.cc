// Simulates strategies of quota enforcement under faults in virtual time. Writes CSV.

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <vector>

#include "model/quota_ways.h"

namespace ridgehold::model {
namespace {

/// Simulates one strategy and fault with all seeds and prints the totals as one line.
void PrintTotals(std::size_t instances, QuotaTrouble fault, QuotaWay strategy,
                 std::uint32_t seeds) {
  QuotaPlayOutcome total;
  std::uint32_t seeds_over = 0;
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    const QuotaPlayOutcome outcome = PlayQuota({strategy, fault, instances, seed});
    total.requests += outcome.requests;
    total.within += outcome.within;
    total.within_refused += outcome.within_refused;
    total.messages += outcome.messages;
    total.asking_median_ms += outcome.asking_median_ms / seeds;
    total.asking_p99_ms = std::max(total.asking_p99_ms, outcome.asking_p99_ms);
    total.worst_window = std::max(total.worst_window, outcome.worst_window);
    if (outcome.worst_window > 1) ++seeds_over;
  }
  const double refused_per_mille =
      1'000.0 * static_cast<double>(total.within_refused) / static_cast<double>(total.within);
  const double messages_per_request =
      static_cast<double>(total.messages) / static_cast<double>(total.requests);
  std::cout << fmt::format("{},{},{},{},{:.3f},{:.3f},{},{:.2f},{:.1f},{:.2f}\n", instances,
                           NameOf(strategy), NameOf(fault), total.requests, refused_per_mille,
                           total.worst_window, seeds_over, total.asking_median_ms,
                           total.asking_p99_ms, messages_per_request);
}

}  // namespace
}  // namespace ridgehold::model

int main(int argc, char** argv) {
  using ridgehold::model::AllQuotaTroubles;
  using ridgehold::model::AllQuotaWays;
  using ridgehold::model::PrintTotals;
  using ridgehold::model::QuotaTrouble;
  using ridgehold::model::QuotaWay;
  std::vector<std::size_t> instances = {90};
  std::uint32_t seeds = 1;
  CLI::App app("Simulates strategies of quota enforcement under faults in virtual time");
  app.add_option("--instances", instances, "Fleet sizes")->capture_default_str();
  app.add_option("--seeds", seeds, "Number of seeds for each simulation")
      ->check(CLI::Range(1, 1'000));
  CLI11_PARSE(app, argc, argv);
  std::cout << "instances,way,trouble,requests,within_refused_per_mille,worst_window,"
               "worst_windows_over,asking_median_ms,asking_p99_ms,messages_a_request\n";
  for (const std::size_t count : instances) {
    for (const QuotaTrouble fault : AllQuotaTroubles()) {
      for (const QuotaWay strategy : AllQuotaWays()) {
        PrintTotals(count, fault, strategy, seeds);
        std::cout.flush();
      }
    }
  }
  return 0;
}
