// What the cases share: the record, the processes of entry instances and the settings they get.

#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "store.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Ports of every entry instance; each has an address of its own.
inline constexpr std::uint16_t kFrontPort = 8782;
inline constexpr std::uint16_t kReadyPort = 8789;
inline constexpr std::uint16_t kControlPort = 8783;

/// Whether this part of the disruption is played: with TROUBLE=0 none, with TROUBLE=PART only that
/// part, else all.
bool Plays(const std::string& part);

/// record.txt: a line for each event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
  int file_ = -1;
};

/// A loopback network of this process: 127.A.B.x. The last byte is `host`.
std::string OwnAddress(int host);

/// The process of an entry instance, started with the command of the deploy file.
class EntryProcess {
 public:
  struct Options {
    std::string name;
    std::string zone = "zone-a";
    std::string address;
    std::string store_address;
    std::string seeds;
    std::string folder;  ///< for settings and log
    /// Added to the command of the deploy file.
    std::vector<std::string> extra_arguments;
  };

  explicit EntryProcess(Options options);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Returns false if the program or the deploy file is missing.
  bool Start();
  void Signal(int signal) const;
  /// Waits for the end after SIGKILL.
  void Kill();
  /// Whether it answers GET /-/readyz with 200.
  bool Ready() const;
  const std::string& address() const { return options_.address; }
  const std::string& name() const { return options_.name; }
  /// Resident memory in bytes; 0 if it does not run.
  std::size_t Memory() const;

 private:
  Options options_;
  pid_t pid_ = 0;
};

/// Waits until `condition` holds, for at most `limit`.
bool WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);
void SleepFor(std::chrono::milliseconds time);

/// A replica: answers /-/report, /healthz and orders, checks X-Expect-Instance, and hands all other
/// requests to a handler with a thread for each connection.
class Replica {
 public:
  struct Entry {
    std::string id;
    std::string service;
    std::string version = "v1";
    bool engine = true;  ///< reports a model
  };
  /// Writes the answer; returns whether the connection can carry another request.
  using Handler = std::function<bool(const Request&, Socket&)>;

  /// Port 0: any free one.
  Replica(Store& store, const std::string& address, Entry entry, Handler handler,
          std::uint16_t port = 0);

  bool valid() const { return listener_.valid(); }
  const std::string& id() const { return entry_.id; }
  const std::string& version() const { return entry_.version; }
  std::string address() const { return address_ + ":" + std::to_string(port()); }
  std::uint16_t port() const { return port_; }
  /// Writes its entry `servers/ID`.
  void Register();
  /// Removes the entry.
  void Deregister();
  /// Call before Register(). `listener` is told of each request when its head has come.
  void SetHeadListener(std::function<void(const Request&)> listener) {
    on_head_ = std::move(listener);
  }
  /// From now on it reads the bodies of requests slowly, or promptly again.
  void ReadSlowly(bool slowly) { slow_ = slowly; }
  /// Ends as its process does: accepts nothing more and closes its connections. Waits until its
  /// address is free.
  void Exit();
  bool exited() const { return exited_; }

 private:
  void Serve();
  void ServeConnection(Socket socket);
  void ServeRequests(Socket& socket);
  bool Respond(const Request& request, Socket& socket);

  Store& store_;
  std::string address_;
  Entry entry_;
  Handler handler_;
  Socket listener_;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::set<int> open_;  ///< descriptors of connections
  std::atomic<bool> closed_{false};
  std::function<void(const Request&)> on_head_ = [](const Request&) {};
  std::atomic<bool> exited_{false};
  std::atomic<bool> slow_{false};
};

/// Sends a whole response with a length.
bool SendResponse(const Socket& socket, const Request& request, int status,
                  const std::string& fields, const std::string& body);

/// A response as a client reads it.
struct Answer {
  int status = 0;         ///< 0: none
  bool complete = false;  ///< as the protocol tells
  Head head;
  std::string body;
};

/// A client's channel to an entry instance.
class Channel {
 public:
  explicit Channel(std::string address) : address_(std::move(address)) {}

  /// Sends a request and reads the answer until `limit` after the start. Opens the channel where it
  /// is not open, and closes it where the answer is not complete.
  Answer Call(const std::string& head, const std::string& body, std::chrono::milliseconds limit);
  /// Whether the next request goes on a channel that has carried one.
  bool kept() const { return socket_.valid(); }

 private:
  std::string address_;
  Socket socket_;
};

/// Sends one request on a channel of its own.
Answer Call(const std::string& address, const std::string& head, const std::string& body,
            std::chrono::milliseconds limit);

/// The numbers of the complete events in a stream, in order.
std::vector<int> EventNumbers(const std::string& stream);

}  // namespace review
