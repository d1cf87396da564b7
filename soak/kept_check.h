// Judges requests on connections that callers keep.

#pragma once

#include <chrono>
#include <string>

#include "sleep.h"
#include "verdict.h"

namespace ridgehold::soak {

/// How a request on a kept connection ended.
struct KeptRequest {
  std::string id;
  std::chrono::milliseconds idle{0};   ///< of the connection, until the request was sent
  std::chrono::milliseconds taken{0};  ///< from sending until the end
  bool within_limits = false;          ///< the idle limits allowed to send it
  bool killed = false;                 ///< the process that the connection led to
  bool told_to_end = false;            ///< the process, in order
  bool first = false;                  ///< on its connection
  bool ran = false;                    ///< an engine has begun to work on it
  bool closed = false;                 ///< without a byte of an answer
  bool reset = false;                  ///< closed with what was sent unread
  bool unanswered = false;             ///< in time
};

/// Fails if a connection that was open, and idle for no longer than allowed, is closed on a request
/// without a byte of an answer.
class KeptCheck {
 public:
  explicit KeptCheck(Verdict& verdict) : verdict_(verdict) {}

  void Ended(const KeptRequest& request);
  /// A connection was found closed before a request was sent.
  void ClosedWhileIdle() { ++closed_while_idle_; }
  /// Fails if too many requests had no answer at their time limit.
  void Judge();

  int judged() const { return judged_; }
  int closed_while_idle() const { return closed_while_idle_; }
  int unanswered() const { return unanswered_; }

 private:
  /// Whether the request crossed the close of a process that ends in order. The rules count neither
  /// a close within their slack of a request that was not passed on, nor a request that was not
  /// read: a new connection may still wait to be accepted.
  static bool CrossedClose(const KeptRequest& request);

  Verdict& verdict_;
  int judged_ = 0;
  int closed_while_idle_ = 0;
  int unanswered_ = 0;
};

}  // namespace ridgehold::soak
