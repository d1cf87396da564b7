// Whether KV cache is used across the wall of an isolated workspace.

#pragma once

#include <map>
#include <set>
#include <string>

#include "operator_log.h"
#include "sleep.h"
#include "verdict.h"

namespace ridgehold::soak {

/// Takes what one engine keeps under a salt as usable at all of them, for ever, as a store of KV
/// cache would keep it.
class WallCheck {
 public:
  WallCheck(Verdict& verdict, const OperatorLog& operator_log)
      : verdict_(verdict), operator_(operator_log) {}

  /// A request of `user`, sent to an instance at `sent`, begins under `salt`.
  void Used(const std::string& request, const std::string& salt, const std::string& user,
            TimePoint sent);

  /// Uses of what another workspace made, and those across a wall that was not due yet.
  int shared() const { return shared_; }

 private:
  Verdict& verdict_;
  const OperatorLog& operator_;
  std::map<std::string, std::set<std::string>> makers_;  ///< by salt
  int shared_ = 0;
};

}  // namespace ridgehold::soak
