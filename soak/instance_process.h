// A ridgehold-entry as a process of its own.

#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sleep.h"

namespace ridgehold::soak {

/// What surrounds an instance's processes.
struct Surroundings {
  bool unread_output = false;  ///< standard output and error are a small pipe that nobody reads
  int max_descriptors = 0;     ///< 0: as many as the soak has
  bool metrics = false;        ///< served at kMetricsPort
  int memory_mb = 0;           ///< the process may use; 0: not stated
};

/// Where an instance listens, and where it finds the others.
struct InstancePlace {
  std::string name;
  std::string address;        ///< its own loopback address
  std::string store_address;  ///< its own way to the store
  std::string seeds;          ///< ADDRESS:PORT,...
  std::string egress;         ///< address of its own ways to the engines; empty: none
  std::string published;      ///< where its peers find a proxy of it; empty: at `address`
  Surroundings surroundings;
};

/// Starts the program and sends it signals; kills it at the end of its life.
class InstanceProcess {
 public:
  /// Settings and log go to files under `folder`.
  InstanceProcess(InstancePlace place, std::filesystem::path program, std::filesystem::path folder);
  ~InstanceProcess();
  InstanceProcess(const InstanceProcess&) = delete;
  InstanceProcess& operator=(const InstanceProcess&) = delete;

  void Start();
  /// The next starts find SIGHUP and SIGTERM blocked by their parent, or not.
  void SetSignalsBlocked(bool blocked) { signals_blocked_ = blocked; }
  /// Whether the program has had the chance to take or block signals: it does so, or its `main`
  /// is at work already.
  bool TakesSignals();
  void Signal(int signal);
  /// A signal that carries a value.
  void Queue(int signal, int value) const;
  /// Whether the process has been sent SIGSTOP and no SIGCONT since.
  bool stopped() const { return stopped_; }
  /// When the process was started or last continued.
  TimePoint undisturbed_since() const { return undisturbed_since_; }
  /// Whether the process with this serial number has been sent SIGKILL, or is past its grace time,
  /// when the platform would send it.
  bool WasKilled(int serial) const;
  /// Whether the process with this serial number has been sent SIGTERM.
  bool WasToldToEnd(int serial) const { return told_to_end_.contains(serial); }
  /// Looks whether the process has ended since.
  bool Running();
  /// Whether the process has used more memory than it may.
  bool ExceedsMemory() const;
  /// How the last process ended, as waitpid tells it.
  int status() const { return status_; }
  /// The signal that ended the last process; empty if none did, or SIGKILL, which the faults send.
  std::string EndSignal() const;
  /// Counts the starts of all instances; tells processes apart.
  int serial() const { return serial_; }
  const InstancePlace& place() const { return place_; }
  std::string LastLogLines(std::size_t count) const;

 private:
  const std::string& PublishedAddress() const {
    return place_.published.empty() ? place_.address : place_.published;
  }
  void WriteSettings() const;
  int OpenOutput();
  void LimitSurroundings() const;
  [[noreturn]] void Become(int output) const;
  std::vector<std::string> Arguments() const;
  std::filesystem::path SettingsPath() const { return folder_ / (place_.name + ".conf"); }
  std::filesystem::path LogPath() const { return folder_ / (place_.name + ".log"); }

  InstancePlace place_;
  std::filesystem::path program_;
  std::filesystem::path folder_;
  pid_t pid_ = 0;
  int status_ = 0;
  int serial_ = 0;
  bool stopped_ = false;
  TimePoint undisturbed_since_{};
  std::set<int> killed_;                  ///< serial numbers
  std::map<int, TimePoint> told_to_end_;  ///< by serial number, when first
  bool signals_blocked_ = false;
  bool takes_signals_ = false;
  int unread_output_ = -1;  ///< reading end of the pipe; closed with the next start
};

inline constexpr int kCallerPort = 8'782;
inline constexpr int kReadyPort = 8'789;
inline constexpr int kControlPort = 8'783;
inline constexpr int kPeerPort = 7'340;
inline constexpr int kMetricsPort = 9'464;

}  // namespace ridgehold::soak
