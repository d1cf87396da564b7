// Stand-ins for the cases of the second review: the platform's store, servers, clients, and the
// processes of the system, all on loopback addresses and the real clock.

#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Json = nlohmann::json;

/// Milliseconds of the monotonic clock since the start of the program.
std::int64_t NowMs();
void SleepMs(std::int64_t milliseconds);

/// Exit codes of a case.
enum Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// Writes lines with their times to record.txt, and to standard output.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// A request or a response.
struct Message {
  std::string start;  ///< the first line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool complete = false;

  std::string Field(const std::string& name) const;
  /// The second word of the first line: a request's target, or a response's status.
  std::string Second() const;
  int Status() const;
};

/// A blocking connection.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects to ADDRESS:PORT; nullptr if that fails.
  static std::shared_ptr<Connection> Open(const std::string& address);

  bool Write(const std::string& bytes);
  /// Reads a message with a length, in chunks, or without a body. Returns false at the end of the
  /// connection or after `timeout_ms`; what has come of the message by then is kept.
  bool Read(Message& message, int timeout_ms);
  /// Closes with a reset.
  void Reset();
  void Close();
  /// Ends both directions; the descriptor stays until Close().
  void Shut();

 private:
  bool Fill(int timeout_ms);
  bool ReadLine(std::string& line, std::int64_t until);
  bool ReadBytes(std::string& out, std::size_t count, std::int64_t until);

  std::atomic<int> descriptor_;
  std::string buffer_;
};

/// Serves each connection on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection& connection)>;

  Listener(const std::string& host, int port, Handler handler);
  ~Listener() { Stop(); }
  std::string address() const { return host_ + ":" + std::to_string(port_); }
  /// Stops listening and ends all connections, as the end of its process would.
  void Stop();

 private:
  void Accept();

  std::string host_;
  int port_ = 0;
  int descriptor_ = -1;
  Handler handler_;
  std::mutex mutex_;
  std::list<std::weak_ptr<Connection>> connections_;
  std::list<std::thread> threads_;
  std::atomic<bool> stopped_{false};
  std::thread accepting_;
};

/// The platform's store: linearizable, with leases, conditions and watches.
class Store {
 public:
  Store(const std::string& host, Record& record);
  ~Store();
  std::string address() const { return listener_->address(); }
  /// A write by the operator or a server. Returns the revision, which is the acknowledgement.
  std::uint64_t Put(const std::string& key, const Json& value);
  void PutText(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Get(const std::string& key);
  /// While it is down, calls get no answer and are not carried out; leases pause.
  void SetDown(bool down);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_at = 0;
  };

  void Serve(Connection& connection);
  /// Waits until the store is up; returns whether it was down.
  bool WaitWhileDown();
  std::pair<int, Json> Handle(const Message& request);
  std::pair<int, Json> Range(const std::map<std::string, std::string>& query);
  std::pair<int, Json> Watch(const std::map<std::string, std::string>& query);
  std::pair<int, Json> Commit(const Json& call);
  void PutLocked(const std::string& key, const std::string& value, std::uint64_t lease,
                 std::uint64_t revision);
  void RemoveLocked(const std::string& key, std::uint64_t revision);
  void EndLeaseLocked(std::uint64_t lease);
  static Json ItemJson(const std::string& key, const Item& item);

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Json> events_;  ///< with "rev", in order
  std::uint64_t revision_ = 100;
  std::uint64_t last_lease_ = 7000;
  bool down_ = false;
  std::int64_t down_since_ = 0;
  std::atomic<bool> stopped_{false};
  std::thread expiry_;
  std::unique_ptr<Listener> listener_;
};

/// A process of the system, started with the command of the deploy file.
class Instance {
 public:
  /// `host` is its own loopback address. Bounds are those of a small deployment.
  Instance(std::string name, std::string host, std::string zone, const std::string& store,
           std::string folder, const std::map<std::string, std::string>& overrides = {});
  ~Instance();
  bool Start();
  void Signal(int signal);
  /// Returns whether it has ended, and how.
  std::optional<int> Ended();
  /// Waits until it says that it is ready.
  bool WaitReady(int timeout_ms);
  bool Ready();
  std::string front() const { return host_ + ":18782"; }
  pid_t pid() const { return pid_; }

 private:
  std::string name_;
  std::string host_;
  std::string folder_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

/// What a route of a configuration holds. `type` is safe, unsafe or stream.
struct Route {
  std::string prefix;
  std::string type;
  std::string service;
  int attempts = 1;
  bool resumable = false;
  bool is_public = false;
  int timeout_ms = 3'000;
};

/// What a tenant of a configuration holds.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  bool isolated = false;
};

/// The service of engines, with the model `m`, and the plain service, as configurations name them.
inline constexpr char kEngines[] = "llm";
inline constexpr char kPlain[] = "app";
/// The host of all routes.
inline constexpr char kHost[] = "h.example";

/// A configuration with both services.
Json Config(int version, const std::vector<Route>& routes, const std::vector<Tenant>& tenants);
/// The registration of a plain server, or of an engine whose model `m` has these weights.
Json PlainEntry(const std::string& address, const std::string& state = "ready");
Json EngineEntry(const std::string& address, int weights, const std::string& state = "ready");
/// The report of an engine.
std::string EngineReport(int weights, int orders, int active);

/// A loopback address that no other run on this machine is likely to use.
std::string OwnHost(int index);

/// Formats a response.
std::string Response(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                     const std::string& body);

}  // namespace rig
