#include "kv_table.h"

#include <algorithm>

namespace ridgehold::standin {

std::optional<KvPair> KvTable::Get(const std::string& key, TimePoint now) {
  Expire(now);
  const auto found = entries_.find(key);
  if (found == entries_.end()) return std::nullopt;
  return KvPair{key, found->second.value, found->second.mod_revision};
}

std::vector<KvPair> KvTable::List(const std::string& first, const std::string& end, TimePoint now) {
  Expire(now);
  std::vector<KvPair> pairs;
  for (auto at = entries_.lower_bound(first); at != entries_.end() && at->first < end; ++at) {
    pairs.push_back({at->first, at->second.value, at->second.mod_revision});
  }
  return pairs;
}

KvTransactionAnswer KvTable::Commit(const KvTransaction& transaction, TimePoint now) {
  Expire(now);
  KvTransactionAnswer answer;
  answer.succeeded = std::ranges::all_of(transaction.compares,
                                         [&](const KvCompare& compare) { return Holds(compare); });
  if (!answer.succeeded) {
    for (const std::string& key : transaction.reads_on_failure) {
      if (auto pair = Get(key, now)) answer.reads.push_back(std::move(*pair));
    }
    return answer;
  }
  ++revision_;
  for (const KvPut& put : transaction.puts) {
    entries_[put.key] = Entry{put.value, revision_, put.lease};
  }
  for (const std::string& key : transaction.deletes) entries_.erase(key);
  return answer;
}

LeaseId KvTable::Grant(std::chrono::seconds ttl, TimePoint now) {
  const LeaseId lease(next_lease_++);
  leases_[lease] = {ttl, now + ttl};
  return lease;
}

bool KvTable::KeepAlive(LeaseId lease, TimePoint now) {
  Expire(now);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.ends = now + found->second.ttl;
  return true;
}

void KvTable::Expire(TimePoint now) {
  for (auto at = leases_.begin(); at != leases_.end();) {
    if (at->second.ends > now) {
      ++at;
      continue;
    }
    std::erase_if(entries_, [&](const auto& entry) { return entry.second.lease == at->first; });
    at = leases_.erase(at);
  }
}

bool KvTable::Holds(const KvCompare& compare) const {
  const auto found = entries_.find(compare.key);
  if (!compare.value) return found == entries_.end();
  return found != entries_.end() && found->second.value == *compare.value;
}

}  // namespace ridgehold::standin
