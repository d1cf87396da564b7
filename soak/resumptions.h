// Streams that broke off, for callers to take up at any instance.

#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "base/ids.h"
#include "net/beast.h"
#include "verdict.h"

namespace ridgehold::soak {

/// A stream whose caller has some of its events.
struct BrokenStream {
  std::string first_attempt;  ///< id of the attempt that brought the first event
  int events = 0;             ///< that the caller has
  std::string release;        ///< of the engine that began it
  std::string key;
  RequestMessage message;
  int tries_left = 0;      ///< after one that is refused or not answered
  TimePoint not_before{};  ///< of the next try
};

/// Hands broken streams to callers, and judges how many of them go on.
class Resumptions {
 public:
  explicit Resumptions(Verdict& verdict) : verdict_(verdict) {}

  /// `serving` returns how many engines of a release take requests. Without it callers take up no
  /// streams.
  /// `tries`: how often callers take a stream up again that was refused or not answered.
  void Enable(std::function<int(const std::string&)> serving, bool judged, int tries);

  void Put(BrokenStream stream);
  /// Puts a stream back whose resumption was refused or not answered, if it has tries left.
  void PutBack(BrokenStream stream);
  std::optional<BrokenStream> Take();
  /// Records how a resumable stream ended. `release`: of a resumed one; empty: a new stream.
  void Ended(const std::string& release, bool began);
  void Judge();

  int sent() const { return all_.sent; }
  int began() const { return all_.began; }

 private:
  struct Count {
    int sent = 0;
    int began = 0;
  };

  Verdict& verdict_;
  std::function<int(const std::string&)> serving_;
  bool judged_ = false;
  int tries_ = 0;
  std::deque<BrokenStream> waiting_;
  Count new_;
  Count resumed_;  ///< while two engines of their release serve
  Count all_;      ///< resumed
};

}  // namespace ridgehold::soak
