// Requests that end every engine that begins them, and what is promised of them.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "random.h"
#include "sleep.h"
#include "verdict.h"

namespace ridgehold::soak {

/// Callers send copies of a poison request while it is active. Judges how often it reaches
/// engines.
class Poison {
 public:
  Poison(Verdict& verdict, Random random) : verdict_(verdict), random_(random) {}

  /// One of few contents from now on, until Stop: the same come again and again.
  void Start() { content_ = "poison-" + std::to_string(random_.Between(1, kContents)); }
  void Stop() { content_.reset(); }

  /// The content that a caller's next request is to have, if any.
  std::optional<std::string> Pick();

  static bool Is(const std::string& body) { return body.starts_with("poison-"); }

  /// An engine begins it, and ends.
  void Began(const std::string& body, const std::string& workspace);

  int ends() const { return ends_; }
  /// Under the request that ended most.
  int most_ends() const { return most_ends_; }

 private:
  /// Of all requests while it is active: a few a second.
  static constexpr double kPart = 0.05;
  static constexpr int kContents = 2;
  static constexpr int kDecisive = 3;
  /// Runs that may come later than the time of contact after the third end.
  static constexpr int kMostLate = 3;
  /// Ends in all. Up to thirty callers send at the same time, and instances that are
  /// paused or cut off hear late.
  static constexpr int kMostEnds = 12;

  struct Record {
    int ends = 0;
    int late = 0;
    TimePoint third{};
  };

  Verdict& verdict_;
  Random random_;
  std::optional<std::string> content_;
  int ends_ = 0;
  int most_ends_ = 0;
  std::map<std::pair<std::string, std::string>, Record> records_;  ///< by content and workspace
};

}  // namespace ridgehold::soak
