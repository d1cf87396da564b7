#include "ledger.h"

#include <set>
#include <sstream>

#include "bounds.h"
#include "platform/names.h"

namespace ridgehold::soak {
namespace {

namespace field = platform::field;

bool SaysNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

/// Header fields that an engine must get as the caller sent them.
constexpr std::array kKeptFields = {field::kModel, field::kTokenCounts, field::kPrefixHashes};

}  // namespace

void Ledger::Sent(RequestRecord record) {
  const std::string id = record.id;
  if (retry_check_ != nullptr) retry_check_->Sent(record.sent);
  requests_[id].record = std::move(record);
}

const RequestRecord* Ledger::Find(const std::string& id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second.record;
}

std::shared_ptr<Run> Ledger::Begin(const RequestMessage& request, int weights,
                                   const std::string& release) {
  const std::string id(request[field::kRequestId]);
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    verdict_.Fail("request that nobody sent", id, std::string(request.target()));
    return nullptr;
  }
  Entry& entry = found->second;
  CheckUnchanged(entry, request);
  CheckRepeats(entry);
  CheckKey(entry);
  CheckWeights(entry, weights);
  auto run = std::make_shared<Run>();
  run->release = release;
  run->signature = id + "." + std::to_string(++runs_);
  entry.runs.push_back(run);
  return run;
}

void Ledger::CheckUnchanged(const Entry& entry, const RequestMessage& request) {
  const RequestMessage& sent = entry.record.message;
  if (request.method() != sent.method() || request.target() != sent.target() ||
      request.body() != sent.body()) {
    Fail(entry, "request was changed", std::string(request.target()));
  }
  for (const char* name : kKeptFields) {
    if (request[name] != sent[name]) Fail(entry, "header field was changed", name);
  }
  if (request[field::kWorkspace] != entry.record.workspace) {
    Fail(entry, "wrong workspace", std::string(request[field::kWorkspace]));
  }
  if (request.count(field::kAuthorization) != 0) Fail(entry, "key was passed on", "");
}

void Ledger::CheckRepeats(const Entry& entry) {
  if (IsIdempotent(entry.record.kind)) return;
  if (!entry.runs.empty()) Fail(entry, "request runs twice", entry.runs.front()->signature);
  if (entry.record.refusal != 0) {
    Fail(entry, "request runs after its refusal", std::to_string(entry.record.refusal));
  }
}

void Ledger::CheckKey(const Entry& entry) {
  const KeyRecord& key = operator_.key(entry.record.key);
  const TimePoint sent = entry.record.sent;
  auto& seen = seen_configs_[entry.record.process];
  seen.try_emplace(key.granted, Clock::now());
  if (key.revoked == 0) return;
  if (sent > key.revoked_at + kRevocationLimit) {
    Fail(entry, "request runs with a key that was taken away", entry.record.key);
  }
  for (auto config = seen.lower_bound(key.revoked); config != seen.end(); ++config) {
    if (sent > config->second + kDowngradeLimit) {
      Fail(entry, "configuration goes back",
           "from " + std::to_string(config->first) + " to before " + std::to_string(key.revoked));
    }
  }
}

void Ledger::CheckWeights(const Entry& entry, int weights) {
  if (weights >= operator_.weights()) return;
  const TimePoint now = Clock::now();
  const TimePoint calm_start = calm_.last_end() + kContact;
  const TimePoint start = std::max(calm_start, operator_.NewerThan(weights));
  if (!calm_.active() && now > start + kWeightsLimit) {
    Fail(entry, "request begins on older weights", std::to_string(weights));
  }
}

void Ledger::Ended(const std::string& id, const CallerView& view) {
  Entry& entry = requests_.at(id);
  if (view.whole && view.bytes_after > 0) Fail(entry, "bytes after the answer", "");
  if (IsSuccess(view.status)) {
    CheckSuccess(entry, view);
  } else if (view.status != 0) {
    CheckRefusal(entry, view);
  }
  const bool served = IsSuccess(view.status) && view.whole;
  if (served) ++served_;
  if (path_check_ != nullptr) path_check_->Ended(entry.record, served);
  if (!view.whole && !view.gave_up) CheckLost(entry, view);
}

void Ledger::CheckSuccess(Entry& entry, const CallerView& view) {
  std::shared_ptr<Run> run;
  for (const auto& candidate : entry.runs) {
    if (candidate->signature == view.signature) run = candidate;
  }
  if (!run) return Fail(entry, "success without a run's signature", view.signature);
  if (run->status != view.status) Fail(entry, "status differs", std::to_string(run->status));
  if (IsStream(entry.record.kind)) return CheckEvents(entry, view);
  if (view.whole && view.body != BodyOf(run->signature)) {
    Fail(entry, "body differs", view.body.substr(0, 100));
  }
}

void Ledger::CheckEvents(Entry& entry, const CallerView& view) {
  std::map<std::string, std::string> releases;  // by signature
  for (const auto& run : entry.runs) {
    const bool possible = IsIdempotent(entry.record.kind) || run->signature == view.signature;
    if (possible) releases[run->signature] = run->release;
  }
  const std::string& stream = entry.record.stream;
  int number = entry.record.events_read;
  std::size_t begin = 0;
  // What follows the last empty line is an event of which only a part came.
  for (std::size_t end = 0; (end = view.body.find("\n\n", begin)) != std::string::npos;) {
    const std::string event = view.body.substr(begin, end + 2 - begin);
    begin = end + 2;
    ++number;
    bool known = false;
    for (const auto& [signature, release] : releases) {
      // Events may begin with a line that tells of changed weights.
      if (!event.ends_with(EventOf(stream, signature, number))) continue;
      known = true;
      CheckRelease(entry, release);
    }
    if (!known) Fail(entry, "event out of order", event);
  }
  const bool complete = number == EventCount(stream) && begin == view.body.size();
  if (view.whole && !complete) {
    Fail(entry, "stream looks complete",
         std::to_string(number) + " of " + std::to_string(EventCount(stream)) + " events");
  }
}

void Ledger::CheckRelease(Entry& entry, const std::string& release) {
  if (entry.record.release.empty()) entry.record.release = release;
  if (entry.record.release == release) return;
  Fail(entry, "stream goes on at another release", entry.record.release + " and " + release);
}

void Ledger::CheckRefusal(Entry& entry, const CallerView& view) {
  RequestRecord& record = entry.record;
  if (SaysNotRun(view.status)) {
    record.refusal = view.status;
    if (!IsIdempotent(record.kind) && !entry.runs.empty()) {
      Fail(entry, "refused and has run", std::to_string(view.status));
    }
  } else if (view.status == 401) {
    const KeyRecord& key = operator_.key(record.key);
    if (key.granted == 1 && key.revoked == 0) Fail(entry, "refused with a valid key", record.key);
  } else if (view.status >= 400 && view.status < 500) {
    Fail(entry, "refused although it is proper", std::to_string(view.status));
  }
  if (view.signature.empty()) return;
  for (const auto& run : entry.runs) {
    if (run->signature == view.signature && run->status == view.status) return;
  }
  Fail(entry, "signature on another answer", view.signature);
}

void Ledger::CheckLost(const Entry& entry, const CallerView& view) {
  const RequestRecord& record = entry.record;
  const bool in_time = Clock::now() < record.sent + kCallerDeadline;
  if (entry.runs.empty() || !in_time) return;
  for (const auto& run : entry.runs) {
    if (run->broke_off) return;
  }
  ++lost_;
  if (!calm_.QuietSince(record.sent - kContact, false)) return;
  Fail(entry, "answer is lost without a fault", "after " + std::to_string(view.body.size()) + " B");
}

void Ledger::Fail(const Entry& entry, const char* promise, const std::string& detail) {
  std::ostringstream text;
  text << detail << " (" << entry.record.message.target() << ", process " << entry.record.process
       << ", sent "
       << std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - entry.record.sent)
              .count()
       << " ms ago, " << entry.runs.size() << " runs)";
  verdict_.Fail(promise, entry.record.id, text.str());
}

}  // namespace ridgehold::soak
