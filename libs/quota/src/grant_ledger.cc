#include "quota/grant_ledger.h"

#include <utility>

namespace ridgehold {

void GrantLedger::Add(const QuotaRequestId& id, QuotaGrant grant, TimePoint now) {
  Expire(now);
  const bool is_new = grants_.insert_or_assign(id, std::move(grant)).second;
  if (is_new) expiry_queue_.push_back({id, now + kRetention});
}

const QuotaGrant* GrantLedger::Find(const QuotaRequestId& id) const {
  const auto found = grants_.find(id);
  return found == grants_.end() ? nullptr : &found->second;
}

std::optional<QuotaGrant> GrantLedger::Revoke(const QuotaRequestId& id, TimePoint now) {
  QuotaGrant revoked;
  revoked.reply = {id, QuotaVerdict::kOverQuota, 0, Duration::zero()};
  const QuotaGrant* known = Find(id);
  std::optional<QuotaGrant> grant;
  if (known != nullptr) grant = *known;
  Add(id, std::move(revoked), now);
  return grant;
}

void GrantLedger::Clear() {
  grants_.clear();
  expiry_queue_.clear();
}

void GrantLedger::Expire(TimePoint now) {
  while (!expiry_queue_.empty() &&
         (expiry_queue_.front().expires_at <= now || expiry_queue_.size() >= kMaxGrants)) {
    grants_.erase(expiry_queue_.front().id);
    expiry_queue_.pop_front();
  }
}

}  // namespace ridgehold
