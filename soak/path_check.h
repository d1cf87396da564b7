// Whether callers of instances that are cut off from all engines are served like the others.

#pragma once

#include <map>

#include "calm.h"
#include "instance_process.h"
#include "request_record.h"
#include "verdict.h"

namespace ridgehold::soak {

/// Counts the requests that are sent while some instances have been cut off for the time of
/// contact, others have not been for as long, and no other fault is at work.
class PathCheck {
 public:
  PathCheck(Verdict& verdict, const Calm& calm) : verdict_(verdict), calm_(calm) {}

  void Add(const InstanceProcess& process) { cuts_[&process] = {}; }
  /// Cuts of one instance may overlap.
  void BeginCut(const InstanceProcess& process);
  void EndCut(const InstanceProcess& process);

  /// A caller has got its answer, or not.
  void Ended(const RequestRecord& request, bool served);

  /// Judges what was counted so far.
  void Judge();

  /// Requests that counted at instances that were cut off.
  int counted() const { return cut_off_.sent; }
  int served() const { return cut_off_.served; }

 private:
  struct Cut {
    int active = 0;
    TimePoint since{};
    TimePoint until{};
  };
  struct Tally {
    int sent = 0;
    int served = 0;
  };

  const Cut* Find(int process) const;
  bool HasSoundInstance(TimePoint sent) const;

  Verdict& verdict_;
  const Calm& calm_;
  std::map<const InstanceProcess*, Cut> cuts_;
  Tally cut_off_;
  Tally others_;
};

}  // namespace ridgehold::soak
