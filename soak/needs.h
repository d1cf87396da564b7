// What engines ask for in their answers, and whether the instances heed it.

#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "request_record.h"
#include "sleep.h"
#include "verdict.h"

namespace ridgehold::soak {

/// What an engine asks for now.
struct Need {
  std::optional<double> limit;                    ///< requests a second, of all instances
  std::optional<std::chrono::milliseconds> rest;  ///< for each request that it turns away
  bool leaving = false;
};

/// Judges by what reaches engines. Engines are named by their process, so one that starts
/// again asks for nothing; so are instances, so one that was restarted was told nothing.
class Needs {
 public:
  explicit Needs(Verdict& verdict) : verdict_(verdict) {}

  /// A request has reached the engine, which is in `need`.
  void Arrived(const std::string& engine, const Need& need, const RequestRecord& request);
  /// The engine has answered it, and said what it needs.
  void Answered(const std::string& engine, const Need& need, const RequestRecord& request);
  /// The engine has turned it away and asked its sender for rest.
  void AskedForRest(const std::string& engine, std::chrono::milliseconds rest,
                    const RequestRecord& request);

  /// The engines are brittle from now on, or are not any more.
  void SetBrittle(std::optional<int> rejections_per_second, int engines);
  /// A brittle engine fell, at a moment without other faults or not.
  void Fell(const std::string& engine, bool calm);
  int falls() const { return falls_; }

  /// Requests that reached engines in need.
  int arrived() const { return arrived_; }

 private:
  using Sender = std::pair<std::string, int>;  ///< engine, process of the instance

  struct Rest {
    TimePoint from{};
    TimePoint until{};
    int arrived = 0;
  };
  struct Limited {
    double limit = 0;
    TimePoint first_named{};
    std::map<int, TimePoint> told;  ///< by process
    std::deque<TimePoint> arrivals;
  };

  void CheckLimit(const std::string& engine, const Need& need, const RequestRecord& request);
  void CheckRest(const Sender& sender, const RequestRecord& request);
  void CheckLeaving(const Sender& sender, const RequestRecord& request);

  Verdict& verdict_;
  std::map<std::string, Limited> limited_;
  std::map<Sender, std::vector<Rest>> rests_;
  std::map<Sender, TimePoint> left_;
  int brittle_engines_ = 0;
  int falls_ = 0;
  int calm_falls_ = 0;  ///< in this time of brittle engines
  int arrived_ = 0;
};

}  // namespace ridgehold::soak
