// One caller's model request, from admission to the last byte of its answer.

#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "cache/block_chain.h"
#include "config/entities.h"
#include "dispatch/attempt_state.h"
#include "dispatch/error_answer.h"
#include "dispatch/stream_sequencer.h"
#include "http/headers.h"
#include "http/responder.h"
#include "routing/router.h"
#include "sse/sse.h"

namespace ridgehold {

class Dispatcher;
class Transfer;

/// A checked and admitted request.
struct ModelRequest {
  RequestId id;
  WorkspaceId workspace;
  ModelId model;
  WeightsVersion weights;
  PolicyKind policy = PolicyKind::kPrefixCost;
  std::string path;
  std::string body;
  bool stream = false;
  std::string salt;
  std::vector<BlockHash> chain;
  std::uint64_t prompt_tokens = 0;
  int priority = 0;
  TimePoint received;
};

/// How a session ended, for logs, metrics and admission.
struct SessionReport {
  ResultCode code = ResultCode::kOk;
  std::uint32_t tries = 0;
  BackendId backend;  ///< the last one tried
};

/// Keeps itself alive until the answer has ended. Tries other engines while
/// the answer can still be whole: before the first frame, or by resuming at
/// the exact offset. Lock order: `mutex_`, then the router's and dispatcher's.
class ModelSession : public std::enable_shared_from_this<ModelSession> {
 public:
  using OnFinished = std::function<void(const SessionReport&)>;

  /// `on_finished` is called once, when the caller's answer has ended.
  static void Start(Dispatcher& dispatcher, ModelRequest request, Responder responder,
                    OnFinished on_finished);

 private:
  /// One try at one engine.
  struct Attempt {
    std::uint32_t number = 0;
    RequestId id;  ///< own id, so that late frames of earlier tries are foreign
    Route route;
    AttemptState state;
    int status = 0;
    Headers headers;
    std::string body;
    bool had_first_frame = false;
    bool closed = false;
    bool complete = false;  ///< the whole response is here, also if it refuses the request
    std::optional<ResultCode> broken;  ///< why this side ended it
    std::shared_ptr<Transfer> transfer;
    SseReader reader;
  };

  ModelSession(Dispatcher& dispatcher, ModelRequest request, Responder responder,
               OnFinished on_finished);

  void TryNext();
  std::optional<Route> ChooseRoute();
  HttpCall MakeCall() const;
  std::string BodyToSend() const;

  void OnHead(std::uint32_t number, int status, const Headers& headers);
  bool OnBody(std::uint32_t number, std::string_view bytes);
  void OnEnd(std::uint32_t number, const TransferEnd& end);
  void OnWritten(std::size_t bytes, bool ok);

  bool HeadMatches(const Headers& headers) const;
  void TakeEvents();
  void TakeNotice(const SseEvent& event);
  void Forward(const SseEvent& event);
  void Break(ResultCode code);
  ResultCode Judge(const TransferEnd& end) const;
  void CloseAttempt(const TransferEnd& end);
  bool CompleteIfAnswered();
  void PassAnswerOn();
  void GiveUp(Failure failure, std::chrono::seconds retry_after = kDefaultRetryAfter);
  std::function<void(bool)> ReportWhenWritten(ResultCode code);
  void Report(ResultCode code);

  Dispatcher& dispatcher_;
  const ModelRequest request_;
  const Responder responder_;
  OnFinished on_finished_;

  std::mutex mutex_;  // guards everything below
  Attempt attempt_;
  std::uint32_t tries_ = 0;
  std::set<BackendId> excluded_;
  StreamSequencer sequencer_;
  std::vector<std::string> passed_frames_;
  bool begun_ = false;         // the caller's streamed answer has begun
  bool possibly_ran_ = false;  // some attempt may have been executed
  bool caller_gone_ = false;
  bool finished_ = false;
  std::size_t unsent_bytes_ = 0;  // handed to the server, not yet to the kernel
  bool paused_ = false;
};

}  // namespace ridgehold
