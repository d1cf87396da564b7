// What instances do with the news that a backend server has asked another instance for
// rest, compared in virtual time.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace ridgehold::model {

/// What the others do that were not asked.
enum class RestWay {
  kNotTold,
  kToldBar,    ///< rest, too
  kToldTwice,  ///< choose it last once two have been asked, as a gateway does
};

/// Whom a third of the backend servers turn away for 4 s, asking for rest each time.
enum class RestTrouble {
  kAll,  ///< all instances
  kOne,  ///< one instance each, another one for each server
};

struct RestPlay {
  RestWay way = RestWay::kNotTold;
  RestTrouble trouble = RestTrouble::kAll;
  std::size_t instances = 8;
  std::uint32_t seed = 1;
};

/// Of requests that came while servers turned requests away.
struct RestPlayOutcome {
  std::uint64_t requests = 0;
  std::uint64_t turned_away = 0;  ///< attempts
  std::uint64_t refused = 0;      ///< requests: three attempts, no retry left, or nobody to ask
  std::uint64_t messages = 0;     ///< between instances, each told once
  double begun_mean_ms = 0;       ///< after it came
  double begun_p99_ms = 0;
};

RestPlayOutcome PlayRest(const RestPlay& play);

std::string_view NameOf(RestWay way);
std::string_view NameOf(RestTrouble trouble);
const std::vector<RestWay>& AllRestWays();
const std::vector<RestTrouble>& AllRestTroubles();

}  // namespace ridgehold::model
