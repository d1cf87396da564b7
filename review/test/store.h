// A stand-in of the platform's metadata store, as PROTOCOL.md describes it.

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace review {

/// Linearizable, loses nothing, keeps its whole history. Serves until the process ends.
class Store {
 public:
  /// Invalid if the address is taken.
  explicit Store(const std::string& address);

  bool valid() const { return listener_.valid(); }
  std::string address() const { return address_ + ":" + std::to_string(PortOf(listener_)); }

  /// Writes as the operator or a replica does.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    std::uint64_t rev = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t rev = 0;
    std::string key;
    bool removed = false;
    Item item;
  };
  struct Lease {
    std::chrono::milliseconds ttl{0};
    Clock::time_point end{};
  };

  void Serve();
  void ServeConnection(Socket socket);
  std::string Answer(const Request& request, int& status);
  std::string Range(const std::string& target);
  std::string Watch(const std::string& target);
  std::string Commit(const std::string& body, int& status);
  std::string GrantLease(const std::string& body);
  std::string RenewLease(std::uint64_t id, int& status);
  void EndLease(std::uint64_t id);
  void ExpireLeases();
  void PutLocked(const std::string& key, const std::string& value, std::uint64_t lease);
  void RemoveLocked(const std::string& key);

  std::string address_;
  Socket listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::uint64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<std::uint64_t, Lease> leases_;
};

}  // namespace review
