// Follows the engines: load reports, cache events, and whole lists after gaps.

#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "base/ids.h"
#include "routing/router.h"

namespace ridgehold {

class HttpClient;
class Metrics;

/// Thread-safe. Poll is called again and again by the daemon's control thread;
/// answers come on the HTTP client's thread. Lock order: `mutex_`, then the
/// router's.
class EngineMonitor {
 public:
  struct Options {
    std::chrono::milliseconds poll{200};
    bool events = true;  ///< else load reports only
    /// Whole lists are read at most this often for one engine, and by so many
    /// engines at once, so that a bad stretch of events causes no storm.
    std::chrono::milliseconds resync_pause{2'000};
    std::uint32_t resyncs_at_once = 4;
    std::uint32_t resync_blocks = 20'000;
  };

  /// Everything referred to outlives the monitor's last callback.
  EngineMonitor(Router& router, HttpClient& client, Metrics& metrics, Options options);

  /// Starts the polls that are due.
  void Poll(TimePoint now);

  /// Whether each engine's whole list was read once, or could not be.
  bool FirstSyncDone() const;

  /// Takes the answer of `/ridgehold/events`; public for tests of bad input.
  void TakeEvents(const BackendId& engine, const std::string& body, TimePoint now);

  /// Takes the answer of `/ridgehold/blocks`.
  void TakeBlocks(const BackendId& engine, const std::string& body, TimePoint now);

 private:
  struct Follow {
    std::string url;
    bool polling = false;
    bool syncing = false;
    bool synced_once = false;
    bool needs_sync = true;
    Incarnation incarnation;
    std::uint64_t last_sequence = 0;
    TimePoint next_poll{};
    TimePoint next_sync{};
  };

  struct PollAnswer {
    int status = 0;  ///< 0: no whole answer came
    std::string body;
  };

  void StartPoll(const BackendId& engine, Follow& follow);
  void StartSync(const BackendId& engine, Follow& follow, TimePoint now);
  void Get(const std::string& url, std::function<void(PollAnswer)> on_answer);
  void CountMalformed(const BackendId& engine, const std::string& what);

  Router& router_;
  HttpClient& client_;
  Metrics& metrics_;
  Options options_;

  mutable std::mutex mutex_;  // guards everything below
  std::map<BackendId, Follow> follows_;
  std::uint32_t syncs_running_ = 0;
  std::minstd_rand jitter_;
};

}  // namespace ridgehold
