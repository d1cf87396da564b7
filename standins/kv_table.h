// An in-memory key-value table with leases and revisions, for stand-ins and tests.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "kv/kv_types.h"

namespace ridgehold::standin {

/// Not thread-safe. Time comes in as a value.
class KvTable {
 public:
  std::optional<KvPair> Get(const std::string& key, TimePoint now);
  std::vector<KvPair> List(const std::string& first, const std::string& end, TimePoint now);
  KvTransactionAnswer Commit(const KvTransaction& transaction, TimePoint now);
  LeaseId Grant(std::chrono::seconds ttl, TimePoint now);
  bool KeepAlive(LeaseId lease, TimePoint now);
  std::int64_t revision() const { return revision_; }

 private:
  struct Entry {
    std::string value;
    std::int64_t mod_revision = 0;
    std::optional<LeaseId> lease;
  };
  struct Lease {
    std::chrono::seconds ttl;
    TimePoint ends;
  };

  void Expire(TimePoint now);
  bool Holds(const KvCompare& compare) const;

  std::map<std::string, Entry> entries_;
  std::map<LeaseId, Lease> leases_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1;
};

}  // namespace ridgehold::standin
