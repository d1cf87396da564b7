// What the platform's key-value service stores, reads and compares.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/strong.h"

namespace ridgehold {

using LeaseId = Strong<struct LeaseIdTag, std::int64_t>;

/// A stored key.
struct KvPair {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;
};

/// Holds when the key's value is `value`, or when absent if there is none.
struct KvCompare {
  std::string key;
  std::optional<std::string> value;
};

/// A key to write; with a lease it goes when the lease ends.
struct KvPut {
  std::string key;
  std::string value;
  std::optional<LeaseId> lease;
};

/// Writes `puts` if every compare holds; else reads `reads_on_failure`.
struct KvTransaction {
  std::vector<KvCompare> compares;
  std::vector<KvPut> puts;
  std::vector<std::string> deletes;
  std::vector<std::string> reads_on_failure;
};

/// The answer to a transaction.
struct KvTransactionAnswer {
  bool succeeded = false;
  std::vector<KvPair> reads;
};

/// Returns the first key behind all keys that start with `prefix`.
inline std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xff') prefix.pop_back();
  if (!prefix.empty()) ++prefix.back();
  return prefix;
}

}  // namespace ridgehold
