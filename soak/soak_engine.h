// An engine that streams, queues, falls silent and breaks off.

#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "calm.h"
#include "endless_part.h"
#include "fakes.h"
#include "fault_proxy.h"
#include "instance_path.h"
#include "ledger.h"
#include "needs.h"
#include "order_check.h"
#include "poison.h"
#include "process_kill.h"
#include "random.h"
#include "retry_check.h"
#include "wall_check.h"

namespace ridgehold::soak {

/// How an engine misbehaves now.
struct EngineMood {
  bool silent = false;                 ///< reads and does not answer
  std::chrono::milliseconds queue{0};  ///< how long requests wait before they run
  double break_part = 0;               ///< part of the answers that end early
  double error_part = 0;               ///< part of the answers that are failures
  double odd_part = 0;                 ///< part of the answers that are none, or early and cut
  bool unframed = false;               ///< answers have neither a length nor chunks
  std::optional<EndlessPart> endless;  ///< answers have framing without end
  Need need;
};

/// An engine of the model `m`; it tells the ledger of each run.
class SoakEngine {
 public:
  struct Judges {
    Ledger& ledger;
    OrderCheck& orders;
    Poison& poison;
    Calm& calm;
    Needs& needs;
    RetryCheck& retries;
    WallCheck& wall;
  };

  SoakEngine(net::any_io_executor executor, std::string id, Judges judges,
             ridgehold::test::MemoryTable& table, Random random);

  void Register();
  /// Neither its registrations nor its reports tell its start.
  void HideStart() { tells_start_ = false; }
  void SetRelease(std::string release) { release_ = next_release_ = std::move(release); }
  const std::string& release() const { return release_; }
  /// Whether it takes requests and goes on doing so.
  bool serving() const { return !ended_ && !mood_.need.leaving; }
  /// Leaves, and starts again as another release.
  net::awaitable<void> Replace(std::string release, std::chrono::milliseconds notice);
  void SetMood(const EngineMood& mood) { mood_ = mood; }
  /// Says in its answers that it falls over when it turns more than so many requests away in a
  /// second, and lets fewer wait after the time of contact.
  void SetBrittle(std::optional<int> rejections_per_second, int engines);
  /// Says that it leaves for so long, its registration as it was, and ends.
  net::awaitable<void> Leave(std::chrono::milliseconds length);
  /// The process ends and another starts at the same address, under an id that sorts anywhere. The
  /// old registration lapses only after `lapse`.
  net::awaitable<void> Reboot(std::chrono::milliseconds lapse);
  /// The process is killed: its connections end as the kernel ends them, also in the middle of
  /// answers. Another starts at the same address under the same id.
  net::awaitable<void> KillProcess(ProcessKill kill);
  /// Does not run until it joins; not registered.
  void Rest();
  /// A process of a release starts after a rest.
  void Join(std::string release);
  /// Says that it leaves for so long, ends, and rests.
  net::awaitable<void> Retire(std::chrono::milliseconds notice);
  bool resting() const { return resting_; }
  FaultProxy& proxy() { return proxy_; }
  /// The way follows the engine's process.
  void AddPath(std::shared_ptr<InstancePath> path) { paths_.push_back(std::move(path)); }

 private:
  /// Until the process has been killed.
  net::awaitable<void> Accept(int process);
  net::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket);
  /// These return false when the connection is to end.
  net::awaitable<bool> Answer(tcp::socket& socket, const RequestMessage& request);
  net::awaitable<bool> Generate(tcp::socket& socket, const RequestMessage& request);
  net::awaitable<bool> Plain(tcp::socket& socket, const RequestMessage& request, Run& run);
  net::awaitable<bool> Events(tcp::socket& socket, const RequestMessage& request, Run& run);
  net::awaitable<bool> Write(tcp::socket& socket, std::string bytes);
  /// Responds before the body has come; then ends the connection, often by a reset.
  net::awaitable<void> AnswerEarly(tcp::socket& socket, const http::request_header<>& head);
  /// Writes framing until the connection ends.
  net::awaitable<bool> WriteEndless(tcp::socket& socket, std::string head, EndlessPart part);
  /// Writes with pauses, and ends the connection.
  net::awaitable<bool> WriteInParts(tcp::socket& socket, std::string answer);
  /// Writes an answer; is killed after `size` bytes of it if a kill waits for that point.
  net::awaitable<bool> WriteUpTo(tcp::socket& socket, std::string bytes, std::size_t size,
                                 KillPoint point);
  net::awaitable<bool> Reply(tcp::socket& socket, http::status status, std::string body,
                             const RequestMessage& request, bool not_run);
  net::awaitable<void> WaitInQueue(const tcp::socket& socket, std::chrono::milliseconds limit);
  http::status TakeOrder(const std::string& body);
  /// Whether a kill waits for an answer that gets to this point.
  bool AwaitsKill(KillPoint point) const;
  /// All sockets of the process close; its runs break off.
  void EndProcess();
  void StartProcess(const ProcessKill& kill);
  /// A process starts to listen; it knows nothing of the one before.
  void Boot();
  /// Names the process, also among those under one id.
  std::string ProcessName() const { return id_ + "/" + std::to_string(kills_); }
  void GoDown();
  /// Another process runs, under an id that begins with `prefix`.
  void ComeBack(const std::string& prefix);
  /// The process ends, and another starts after a while, under another id.
  net::awaitable<void> End();
  net::awaitable<void> Load(int weights, bool break_runs);
  std::string Report() const;
  std::string Head(const Run& run, const RequestMessage& request, const std::string& framing) const;
  bool MayRun(const RequestMessage& request) const;
  /// What every answer says of the engine; its sender knows it from now on.
  /// Counts a request that was turned away for want of room; a brittle engine may fall over.
  void CountRejection();
  std::string NeedFields(const RequestMessage& request) const;
  net::awaitable<bool> AskForRest(tcp::socket& socket, const RequestMessage& request);

  const std::string name_;
  int starts_ = 0;
  std::string release_ = "v1";
  std::string next_release_ = "v1";  ///< of the next start
  std::string id_;                   ///< of this start
  std::int64_t born_ = 0;            ///< Unix ms of this start
  bool tells_start_ = true;
  int kills_ = 0;
  std::optional<ProcessKill> kill_;  ///< that waits for its point
  std::set<std::shared_ptr<Run>> running_;
  std::vector<std::weak_ptr<tcp::socket>> sockets_;  ///< accepted
  Judges judges_;
  ridgehold::test::MemoryTable& table_;
  Random random_;
  tcp::acceptor acceptor_;
  FaultProxy proxy_;
  std::vector<std::shared_ptr<InstancePath>> paths_;
  EngineMood mood_;
  int weights_ = 1;
  int orders_ = 0;
  bool busy_ = false;
  bool ended_ = false;
  bool resting_ = false;
  int queued_ = 0;
  std::optional<int> brittle_;
  TimePoint brittle_since_{};
  std::deque<TimePoint> rejections_;  // in the last second
  int active_ = 0;
  int breaks_ = 0;  // grows when all streams are to be broken off
};

}  // namespace ridgehold::soak
