// Judges requests by what callers and engines see of them.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "calm.h"
#include "operator_log.h"
#include "path_check.h"
#include "request_record.h"
#include "retry_check.h"
#include "verdict.h"

namespace ridgehold::soak {

/// What a caller has read when its request ended.
struct CallerView {
  int status = 0;        ///< 0: not even a head
  bool whole = false;    ///< the answer's framing says that it is complete
  bool gave_up = false;  ///< the caller left
  std::string signature;
  std::string body;
  std::size_t bytes_after = 0;  ///< what came after a whole answer
};

/// Keeps all requests of a run.
class Ledger {
 public:
  Ledger(Verdict& verdict, const Calm& calm, const OperatorLog& operator_log)
      : verdict_(verdict), calm_(calm), operator_(operator_log) {}

  void Sent(RequestRecord record);
  /// An engine begins to work on a request; returns null for one nobody sent.
  std::shared_ptr<Run> Begin(const RequestMessage& request, int weights,
                             const std::string& release);
  void Ended(const std::string& id, const CallerView& view);
  /// Null for a request that nobody sent.
  const RequestRecord* Find(const std::string& id) const;
  /// Whether an engine has begun to work on the request.
  bool HasRun(const std::string& id) const { return !requests_.at(id).runs.empty(); }

  int sent() const { return static_cast<int>(requests_.size()); }
  int served() const { return served_; }
  void SetPathCheck(PathCheck& check) { path_check_ = &check; }
  void SetRetryCheck(RetryCheck& check) { retry_check_ = &check; }
  int lost() const { return lost_; }

 private:
  struct Entry {
    RequestRecord record;
    std::vector<std::shared_ptr<Run>> runs;
  };

  void CheckUnchanged(const Entry& entry, const RequestMessage& request);
  void CheckRepeats(const Entry& entry);
  void CheckKey(const Entry& entry);
  void CheckWeights(const Entry& entry, int weights);
  void CheckSuccess(Entry& entry, const CallerView& view);
  void CheckEvents(Entry& entry, const CallerView& view);
  /// Fails if the event is from an engine of another release than the stream's first.
  void CheckRelease(Entry& entry, const std::string& release);
  void CheckRefusal(Entry& entry, const CallerView& view);
  void CheckLost(const Entry& entry, const CallerView& view);
  void Fail(const Entry& entry, const char* promise, const std::string& detail);

  Verdict& verdict_;
  const Calm& calm_;
  PathCheck* path_check_ = nullptr;
  RetryCheck* retry_check_ = nullptr;
  const OperatorLog& operator_;
  std::map<std::string, Entry> requests_;
  /// By process: configurations whose effect was seen, with the first time.
  std::map<int, std::map<int, TimePoint>> seen_configs_;
  int runs_ = 0;
  int served_ = 0;
  int lost_ = 0;
};

}  // namespace ridgehold::soak
