#include "wall_check.h"

#include "bounds.h"

namespace ridgehold::soak {

void WallCheck::Used(const std::string& request, const std::string& salt, const std::string& user,
                     TimePoint sent) {
  std::set<std::string>& makers = makers_[salt];
  for (const std::string& maker : makers) {
    if (maker == user) continue;
    ++shared_;
    for (const std::string& workspace : {maker, user}) {
      const auto since = operator_.IsolatedSince(workspace);
      if (!since || sent <= *since + kConfigLimit) continue;
      std::string detail = user;
      detail.append(" uses what ").append(maker).append(" made under ").append(salt);
      verdict_.Fail("cache is used across a wall", request, detail);
    }
  }
  makers.insert(user);
}

}  // namespace ridgehold::soak
