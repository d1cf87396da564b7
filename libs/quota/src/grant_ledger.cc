#include "quota/grant_ledger.h"

#include <utility>

namespace ridgehold {

void GrantLedger::Add(const QuotaRequestId& id, QuotaGrant grant, TimePoint now) {
  Expire(now);
  const bool is_new = grants_.insert_or_assign(id, std::move(grant)).second;
  if (is_new) order_.push_back({id, now + kRemembered});
}

const QuotaGrant* GrantLedger::Find(const QuotaRequestId& id) const {
  const auto found = grants_.find(id);
  return found == grants_.end() ? nullptr : &found->second;
}

std::optional<QuotaGrant> GrantLedger::Withdraw(const QuotaRequestId& id, TimePoint now) {
  QuotaGrant withdrawn;
  withdrawn.reply = {id, QuotaVerdict::kOverQuota, 0, Duration::zero()};
  const QuotaGrant* known = Find(id);
  std::optional<QuotaGrant> grant;
  if (known != nullptr) grant = *known;
  Add(id, std::move(withdrawn), now);
  return grant;
}

void GrantLedger::Clear() {
  grants_.clear();
  order_.clear();
}

void GrantLedger::Expire(TimePoint now) {
  while (!order_.empty() && (order_.front().until <= now || order_.size() >= kMostGrants)) {
    grants_.erase(order_.front().id);
    order_.pop_front();
  }
}

}  // namespace ridgehold
