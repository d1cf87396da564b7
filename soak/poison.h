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

/// What a caller's request gets so that it ends engines.
struct PoisonRequest {
  std::string body;
  std::string prompt_part;  ///< the id of a further part; empty: none
};

/// Callers send copies of a poison request while it is active, or requests with a poison part, no
/// two of them alike. Judges how often these reach engines.
class Poison {
 public:
  Poison(Verdict& verdict, Random random)
      : verdict_(verdict), random_(random), part_random_(random.Fork()) {}

  /// One of few contents from now on, until Stop: the same come again and again.
  void Start() { content_ = "poison-" + std::to_string(random_.Between(1, kContents)); }
  void Stop() { content_.reset(); }

  /// One of few prompt parts from now on, until StopPart.
  void StartPart() { part_ = kPartPrefix + std::to_string(part_random_.Between(1, kContents)); }
  void StopPart() { part_.reset(); }

  /// What a caller's next request is to have, if anything.
  std::optional<PoisonRequest> Pick();

  static bool Is(const std::string& body) { return body.starts_with("poison-"); }

  /// An engine begins it, and ends. `parts` are the parts of its prompt as the request lists them.
  void Began(const std::string& body, const std::string& workspace, const std::string& parts);

  int ends() const { return ends_; }
  /// Under the request or part that ended most.
  int most_ends() const { return most_ends_; }

 private:
  static constexpr char kPartPrefix[] = "dead";
  /// Of all requests while it is active: a few a second.
  static constexpr double kPart = 0.05;
  static constexpr int kContents = 2;
  static constexpr int kDecisive = 3;
  static constexpr int kDecisiveOfPart = 5;
  /// Runs that may come later than the time of contact after the decisive end.
  static constexpr int kMostLate = 3;
  /// Ends in all. Up to thirty callers send at the same time, and instances that are
  /// paused or cut off hear late.
  static constexpr int kMostEnds = 12;
  static constexpr int kMostEndsOfPart = 14;  ///< two more are needed to decide

  struct Record {
    int ends = 0;
    int late = 0;
    TimePoint decisive_end{};
  };

  Verdict& verdict_;
  Random random_;
  Random part_random_;
  std::optional<std::string> content_;
  std::optional<std::string> part_;
  int sent_with_part_ = 0;
  int ends_ = 0;
  int most_ends_ = 0;
  /// By content and workspace; by part alone where there is one.
  std::map<std::pair<std::string, std::string>, Record> records_;
};

}  // namespace ridgehold::soak
