#include "soak_engine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "bounds.h"
#include "odd_answer.h"
#include "platform/names.h"

namespace ridgehold::soak {
namespace {

using Json = nlohmann::json;
namespace field = platform::field;
using namespace std::chrono_literals;

constexpr double kReadLatePart = 0.5;         // requests that a silent engine has not begun
constexpr double kNoAnswerPart = 0.4;         // of the answers that end early
constexpr double kChunkedPart = 0.3;          // of the answers that are no stream
constexpr double kInOrderPart = 0.3;          // of the early answers
constexpr double kResetPart = 0.8;            // of the connections with an early answer
constexpr std::size_t kLargeBytes = 100'000;  // more than callers usually send
constexpr double kSlowLoadPart = 0.2;         // of the loads of weights
constexpr int kSlots = 8;
constexpr int kQueuePlaces = 16;
constexpr int kQueuePlacesWhenBrittle = 2;
constexpr std::chrono::milliseconds kLook{5};  // how often a waiting request looks again

constexpr char kChunkedField[] = "Transfer-Encoding: chunked\r\n";
constexpr char kEventStreamField[] = "Content-Type: text/event-stream\r\n";

std::string HeadLine(http::status status) {
  return "HTTP/1.1 " + std::to_string(static_cast<int>(status)) + " " +
         std::string(http::obsolete_reason(status)) + "\r\n";
}

std::string Chunk(const std::string& data) {
  std::array<char, 16> size;
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return size.data() + data + "\r\n";
}

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int Number(boost::beast::string_view text) { return std::atoi(std::string(text).c_str()); }

}  // namespace

SoakEngine::SoakEngine(net::any_io_executor executor, std::string id, Judges judges,
                       ridgehold::test::MemoryTable& table, Random random)
    : name_(std::move(id)),
      id_(name_),
      born_(UnixMilliseconds()),
      judges_(judges),
      table_(table),
      random_(random),
      acceptor_(executor, {net::ip::make_address("127.0.0.1"), 0}),
      proxy_(executor, "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())) {
  net::co_spawn(executor, Accept(kills_), net::detached);
}

void SoakEngine::Register() {
  Json entry = {{"service", "llm"},
                {"addr", proxy_.address()},
                {"zone", "a"},
                {"version", release_},
                {"slots", kSlots},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"models", {{{"name", "m"}, {"version", weights_}, {"adapters", Json::array()}}}},
                {"seq", orders_}};
  if (tells_start_) entry["born"] = born_;
  table_.Put(platform::key::kBackendPrefix + id_, entry.dump());
}

net::awaitable<void> SoakEngine::Accept(int process) {
  for (;;) {
    ErrorCode error;
    tcp::socket socket =
        co_await acceptor_.async_accept(net::redirect_error(net::use_awaitable, error));
    if (error || process != kills_) co_return;
    auto accepted = std::make_shared<tcp::socket>(std::move(socket));
    std::erase_if(sockets_, [](const auto& known) { return known.expired(); });
    sockets_.push_back(accepted);
    net::co_spawn(acceptor_.get_executor(), Serve(std::move(accepted)), net::detached);
  }
}

net::awaitable<void> SoakEngine::Serve(std::shared_ptr<tcp::socket> socket) {
  boost::beast::flat_buffer buffer;
  for (bool kept = true; kept;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    ErrorCode error;
    co_await http::async_read_header(*socket, buffer, parser,
                                     net::redirect_error(net::use_awaitable, error));
    if (error) co_return;
    const bool is_large = parser.content_length().value_or(0) >= kLargeBytes;
    if (mood_.odd_part > 0 && is_large) {
      co_await AnswerEarly(*socket, parser.get());
      co_return;
    }
    if (!parser.is_done()) {
      co_await http::async_read(*socket, buffer, parser,
                                net::redirect_error(net::use_awaitable, error));
    }
    if (error) co_return;
    const RequestMessage request = parser.release();
    kept = co_await Answer(*socket, request);
  }
}

net::awaitable<void> SoakEngine::AnswerEarly(tcp::socket& socket,
                                             const http::request_header<>& head) {
  const RequestRecord* record = judges_.ledger.Find(std::string(head[field::kRequestId]));
  if (record == nullptr || busy_ || std::string(head[field::kExpectedBackend]) != id_) co_return;
  RequestMessage request(head);
  // What comes is not compared.
  request.body() = record->message.body();
  const auto run = judges_.ledger.Begin(request, weights_, release_);
  if (!run) co_return;
  const bool in_order = random_.Chance(kInOrderPart);
  run->broke_off = true;
  run->status = in_order ? 200 : 0;
  Run written = *run;
  written.status = 200;
  std::string answer = Head(written, request, "Connection: close\r\n");
  const std::string body = BodyOf(run->signature);
  const auto size = static_cast<std::size_t>(random_.Between(0, static_cast<int>(body.size()) - 1));
  answer += in_order ? body : body.substr(0, size);
  co_await Write(socket, std::move(answer));
  ErrorCode ignored;
  if (in_order) socket.shutdown(tcp::socket::shutdown_send, ignored);
  co_await Sleep(random_.Milliseconds(0, 120));
  if (random_.Chance(kResetPart)) {
    socket.set_option(net::socket_base::linger(true, 0), ignored);
  }
  socket.close(ignored);
}

net::awaitable<bool> SoakEngine::Answer(tcp::socket& socket, const RequestMessage& request) {
  const std::string target(request.target());
  const bool read_late = random_.Chance(kReadLatePart);  // falls silent before or after it runs
  while (mood_.silent && read_late && socket.is_open()) co_await Sleep(kLook);
  if (!socket.is_open()) co_return false;
  const std::string id(request[field::kRequestId]);
  if (judges_.ledger.Find(id) != nullptr) judges_.retries.Arrived(id);
  const std::string expected(request[field::kExpectedBackend]);
  if (!expected.empty() && expected != id_) {
    co_return co_await Reply(socket, http::status::misdirected_request, "", request, true);
  }
  if (target == platform::path::kReport) {
    co_return co_await Reply(socket, http::status::ok, Report(), request, false);
  }
  if (target == platform::path::kOrder) {
    const http::status status = TakeOrder(request.body());
    co_return co_await Reply(socket, status, "{}", request, false);
  }
  if (target == "/healthz") {
    co_return co_await Reply(socket, http::status::ok, "", request, false);
  }
  co_return co_await Generate(socket, request);
}

bool SoakEngine::MayRun(const RequestMessage& request) const {
  return !busy_ && active_ < kSlots && Number(request[field::kTimeLeftMs]) > 0;
}

net::awaitable<void> SoakEngine::WaitInQueue(const tcp::socket& socket,
                                             std::chrono::milliseconds limit) {
  const TimePoint end = Clock::now() + limit;
  const TimePoint turn = Clock::now() + mood_.queue;
  ++queued_;
  while (!busy_ && socket.is_open() && Clock::now() < end &&
         (Clock::now() < turn || active_ >= kSlots)) {
    co_await Sleep(kLook);
  }
  --queued_;
}

net::awaitable<bool> SoakEngine::Generate(tcp::socket& socket, const RequestMessage& request) {
  const RequestRecord* record = judges_.ledger.Find(std::string(request[field::kRequestId]));
  if (record != nullptr) judges_.needs.Arrived(ProcessName(), mood_.need, *record);
  if (mood_.need.rest && record != nullptr) co_return co_await AskForRest(socket, request);
  const std::chrono::milliseconds limit(Number(request[field::kTimeLeftMs]));
  const TimePoint arrived = Clock::now();
  const bool sheds = brittle_ && Clock::now() >= brittle_since_ + kContact;
  bool may_run = queued_ < (sheds ? kQueuePlacesWhenBrittle : kQueuePlaces);
  if (!may_run) CountRejection();
  if (may_run) {
    co_await WaitInQueue(socket, limit);
    if (!socket.is_open()) co_return false;
    may_run = MayRun(request) && Clock::now() < arrived + limit;
  }
  if (!may_run) {
    co_return co_await Reply(socket, http::status::service_unavailable, "", request, true);
  }
  const std::string weights(request[field::kExpectedWeightsVersion]);
  if (!weights.empty() && weights != std::to_string(weights_)) {
    co_return co_await Reply(socket, http::status::misdirected_request, "", request, true);
  }
  const auto run = judges_.ledger.Begin(request, weights_, release_);
  if (!run) co_return false;
  if (record != nullptr) {
    judges_.wall.Used(record->id, std::string(request[field::kCacheSalt]), record->workspace,
                      record->sent);
  }
  if (Poison::Is(request.body())) {
    judges_.poison.Began(request.body(), std::string(request[field::kWorkspace]),
                         std::string(request[field::kPrefixHashes]));
    run->broke_off = true;
    net::co_spawn(acceptor_.get_executor(), End(), net::detached);
    co_return false;
  }
  ++active_;
  running_.insert(run);
  const bool stream =
      request.target().find("/stream/") == 0 || request.target().find("/resume/") == 0;
  bool kept = false;
  if (stream) {
    kept = co_await Events(socket, request, *run);
  } else {
    kept = co_await Plain(socket, request, *run);
  }
  running_.erase(run);
  --active_;
  co_return kept;
}

net::awaitable<bool> SoakEngine::Plain(tcp::socket& socket, const RequestMessage& request,
                                       Run& run) {
  co_await Sleep(random_.Milliseconds(2, 80));
  while (mood_.silent && socket.is_open()) co_await Sleep(kLook);
  if (!socket.is_open()) co_return false;
  const bool breaks = random_.Chance(mood_.break_part);
  run.broke_off = breaks;
  if (breaks && random_.Chance(kNoAnswerPart)) co_return false;
  if (mood_.odd_part > 0 && random_.Chance(mood_.odd_part)) {
    run.broke_off = true;
    const std::string id(request[field::kRequestId]);
    std::string odd = DrawOddAnswer(id, run, random_);
    co_await Write(socket, std::move(odd));
    co_return false;
  }
  run.status = random_.Chance(mood_.error_part) ? 500 : 200;
  if (mood_.endless) {
    run.broke_off = true;
    co_return co_await WriteEndless(socket, Head(run, request, kChunkedField), *mood_.endless);
  }
  const std::string body = BodyOf(run.signature);
  // The end of a connection cannot tell that such an answer was cut off.
  const bool unframed = (mood_.unframed || (kill_ && kill_->unframed)) && !breaks;
  const bool chunked = random_.Chance(kChunkedPart) && !unframed;
  std::string framing = chunked ? "Transfer-Encoding: chunked\r\n"
                                : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (unframed) framing = "Connection: close\r\n";
  std::string answer = Head(run, request, framing);
  const std::size_t head_size = answer.size();
  answer += chunked ? Chunk(body) + "0\r\n\r\n" : body;
  if (breaks)
    answer.resize(
        static_cast<std::size_t>(random_.Between(1, static_cast<int>(answer.size()) - 1)));
  if (!breaks && AwaitsKill(KillPoint::kAfterHead)) {
    const bool written =
        co_await WriteUpTo(socket, std::move(answer), head_size, KillPoint::kAfterHead);
    co_return written && !unframed;
  }
  if (!breaks && AwaitsKill(KillPoint::kInBody)) {
    const auto part = static_cast<std::size_t>(
        random_.Between(1, static_cast<int>(answer.size() - head_size) - 1));
    const bool written =
        co_await WriteUpTo(socket, std::move(answer), head_size + part, KillPoint::kInBody);
    co_return written && !unframed;
  }
  if (unframed) co_return co_await WriteInParts(socket, std::move(answer));
  const bool written = co_await Write(socket, std::move(answer));
  co_return written && !breaks;
}

net::awaitable<bool> SoakEngine::WriteEndless(tcp::socket& socket, std::string head,
                                              EndlessPart part) {
  // An instance that reads on for ever must not keep the soak from ending.
  constexpr std::size_t kMostBlocks = 4'096;
  bool written = co_await Write(socket, head + part.begin);
  for (std::size_t i = 0; i < kMostBlocks && written; ++i) {
    written = co_await Write(socket, part.block);
  }
  co_return false;
}

net::awaitable<bool> SoakEngine::WriteInParts(tcp::socket& socket, std::string answer) {
  constexpr std::size_t kParts = 3;
  const std::size_t size = answer.size() / kParts + 1;
  for (std::size_t at = 0; at < answer.size(); at += size) {
    const bool written = co_await Write(socket, answer.substr(at, size));
    if (!written) co_return false;
    co_await Sleep(random_.Milliseconds(2, 80));
  }
  co_return false;
}

net::awaitable<bool> SoakEngine::Events(tcp::socket& socket, const RequestMessage& request,
                                        Run& run) {
  const bool resumed = request.count(field::kResumes) > 0;
  const std::string id(request[resumed ? field::kResumes : field::kRequestId]);
  const int breaks_before = breaks_;
  const bool breaks = random_.Chance(mood_.break_part);
  const int count = EventCount(id);
  // A stream that a caller takes up may break off anywhere in its rest, like a new one.
  const int taken_up_after = resumed ? Number(request[field::kLastEventId]) : 0;
  const int break_at = breaks ? random_.Between(taken_up_after, count) : count + 1;
  run.status = 200;
  if (mood_.endless) {
    run.broke_off = true;
    const std::string fields = std::string(kEventStreamField) + kChunkedField;
    co_return co_await WriteEndless(socket, Head(run, request, fields), *mood_.endless);
  }
  const bool unframed = mood_.unframed || (kill_ && kill_->unframed);
  const std::string framing = unframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
  co_await Sleep(random_.Milliseconds(2, 60));
  if (!socket.is_open()) co_return false;
  std::string head = Head(run, request, "Content-Type: text/event-stream\r\n" + framing);
  const std::size_t head_size = head.size();
  bool written = co_await WriteUpTo(socket, std::move(head), head_size, KillPoint::kAfterHead);
  for (int i = Number(request[field::kLastEventId]) + 1; i <= count && written; ++i) {
    co_await Sleep(random_.Milliseconds(2, 60));
    while (mood_.silent && socket.is_open()) co_await Sleep(kLook);
    std::string event = EventOf(id, run.signature, i);
    const bool ends = i >= break_at || breaks_ != breaks_before;
    if (ends) {
      run.broke_off = true;
      event.resize(event.size() / 2);
    }
    if (!unframed) event = Chunk(event);
    const bool cut = !ends && AwaitsKill(KillPoint::kInBody);
    const std::size_t size = cut ? event.size() / 2 : event.size();
    const KillPoint point = cut ? KillPoint::kInBody : KillPoint::kAfterEvent;
    written = co_await WriteUpTo(socket, std::move(event), size, point);
    if (ends) co_return false;
  }
  if (!written || unframed) co_return false;
  co_return co_await Write(socket, "0\r\n\r\n");
}

std::string SoakEngine::NeedFields(const RequestMessage& request) const {
  const RequestRecord* record = judges_.ledger.Find(std::string(request[field::kRequestId]));
  if (record != nullptr) judges_.needs.Answered(ProcessName(), mood_.need, *record);
  std::string fields;
  if (mood_.need.limit) {
    fields += std::string(field::kServerLimit) + ": " + std::to_string(*mood_.need.limit) + "\r\n";
  }
  if (brittle_) {
    fields += std::string(field::kServerBrittle) + ": " + std::to_string(*brittle_) + "\r\n";
  }
  if (mood_.need.leaving) fields += std::string(field::kServerLeaving) + ": 1\r\n";
  return fields;
}

void SoakEngine::SetBrittle(std::optional<int> rejections_per_second, int engines) {
  judges_.needs.SetBrittle(rejections_per_second, engines);
  if (!brittle_) brittle_since_ = Clock::now();
  brittle_ = rejections_per_second;
  rejections_.clear();
}

void SoakEngine::CountRejection() {
  constexpr std::chrono::seconds kWindow{1};
  if (!brittle_) return;
  const TimePoint now = Clock::now();
  rejections_.push_back(now);
  while (rejections_.front() + kWindow <= now) rejections_.pop_front();
  if (static_cast<int>(rejections_.size()) <= *brittle_ || ended_) return;
  rejections_.clear();
  judges_.needs.Fell(id_, judges_.calm.QuietSince(now - kContact, true));
  net::co_spawn(acceptor_.get_executor(), End(), net::detached);
}

net::awaitable<bool> SoakEngine::AskForRest(tcp::socket& socket, const RequestMessage& request) {
  const std::string id(request[field::kRequestId]);
  const std::chrono::milliseconds rest = *mood_.need.rest;
  std::string answer = HeadLine(http::status::service_unavailable) + field::kBackend + ": " + id_ +
                       "\r\n" + field::kRequestId + ": " + id + "\r\n" + field::kNotExecuted +
                       ": 1\r\n" + NeedFields(request) + "Retry-After: " +
                       std::to_string(std::chrono::duration<double>(rest).count()) +
                       "\r\nContent-Length: 0\r\n\r\n";
  const std::string engine = ProcessName();
  const bool written = co_await Write(socket, std::move(answer));
  const RequestRecord* record = judges_.ledger.Find(id);
  if (written && record != nullptr) judges_.needs.AskedForRest(engine, rest, *record);
  co_return written;
}

net::awaitable<void> SoakEngine::Leave(std::chrono::milliseconds length) {
  if (ended_) co_return;
  mood_.need.leaving = true;
  co_await Sleep(length);
  if (!ended_) co_await End();
  mood_.need.leaving = false;
}

net::awaitable<void> SoakEngine::Reboot(std::chrono::milliseconds lapse) {
  if (ended_ || mood_.need.leaving) co_return;
  ended_ = true;
  const Calm::Token token = judges_.calm.Begin(FaultClass::kProcess);
  GoDown();
  const std::string key = platform::key::kBackendPrefix + id_;
  co_await Sleep(random_.Milliseconds(100, 600));
  ComeBack(static_cast<char>(random_.Between('a', 'z')) + name_);
  co_await Sleep(lapse);
  table_.Remove(key);
}

void SoakEngine::Rest() {
  ended_ = resting_ = true;
  GoDown();
}

void SoakEngine::Join(std::string release) {
  SetRelease(std::move(release));
  resting_ = false;
  ComeBack(name_);
}

net::awaitable<void> SoakEngine::Retire(std::chrono::milliseconds notice) {
  // While another process starts, there is nothing to retire.
  while (!resting_ && (ended_ || kill_)) co_await Sleep(kLook);
  if (resting_) co_return;
  const Calm::Token token = judges_.calm.Begin(FaultClass::kProcess);
  mood_.need.leaving = true;
  co_await Sleep(notice);
  const std::string key = platform::key::kBackendPrefix + id_;
  mood_.need.leaving = false;
  Rest();
  table_.Remove(key);
}

net::awaitable<void> SoakEngine::Replace(std::string release, std::chrono::milliseconds notice) {
  next_release_ = std::move(release);
  co_await Leave(notice);
}

std::string SoakEngine::Head(const Run& run, const RequestMessage& request,
                             const std::string& framing) const {
  const std::string id(request[field::kRequestId]);
  return HeadLine(static_cast<http::status>(run.status)) + field::kRequestId + ": " + id + "\r\n" +
         NeedFields(request) + field::kSignature + ": " + run.signature + "\r\n" +
         field::kWeightsVersion + ": " + std::to_string(weights_) + "\r\n" + framing + "\r\n";
}

net::awaitable<bool> SoakEngine::Write(tcp::socket& socket, std::string bytes) {
  ErrorCode error;
  co_await net::async_write(socket, net::buffer(bytes),
                            net::redirect_error(net::use_awaitable, error));
  co_return !error;
}

net::awaitable<bool> SoakEngine::WriteUpTo(tcp::socket& socket, std::string bytes, std::size_t size,
                                           KillPoint point) {
  std::string rest = bytes.substr(size);
  bytes.resize(size);
  const bool written = co_await Write(socket, std::move(bytes));
  if (!written) co_return false;
  if (AwaitsKill(point)) {
    EndProcess();
    co_return false;
  }
  if (rest.empty()) co_return true;
  co_return co_await Write(socket, std::move(rest));
}

net::awaitable<bool> SoakEngine::Reply(tcp::socket& socket, http::status status, std::string body,
                                       const RequestMessage& request, bool not_run) {
  std::string answer = HeadLine(status) + field::kBackend + ": " + id_ + "\r\n";
  const std::string id(request[field::kRequestId]);
  if (!id.empty()) answer += std::string(field::kRequestId) + ": " + id + "\r\n";
  if (not_run) answer += std::string(field::kNotExecuted) + ": 1\r\n";
  answer += NeedFields(request);
  answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  co_return co_await Write(socket, std::move(answer));
}

bool SoakEngine::AwaitsKill(KillPoint point) const {
  return serving() && kill_ && kill_->point == point;
}

void SoakEngine::EndProcess() {
  ended_ = true;
  ++kills_;
  kill_.reset();
  proxy_.EndServer();
  for (const auto& path : paths_) path->KillEngine();
  for (const auto& run : running_) run->broke_off = true;
  ErrorCode ignored;
  for (const auto& known : sockets_) {
    if (const auto socket = known.lock()) socket->close(ignored);
  }
  sockets_.clear();
  // Resets the connections that have not been accepted. The proxy lets no others through until the
  // next process starts.
  const tcp::endpoint endpoint = acceptor_.local_endpoint();
  acceptor_.close(ignored);
  acceptor_ = tcp::acceptor(acceptor_.get_executor(), endpoint);
  net::co_spawn(acceptor_.get_executor(), Accept(kills_), net::detached);
}

void SoakEngine::StartProcess(const ProcessKill& kill) {
  if (!kill.release.empty()) release_ = next_release_ = kill.release;
  busy_ = false;
  rejections_.clear();
  Boot();
}

void SoakEngine::Boot() {
  born_ = std::max(born_ + 1, UnixMilliseconds());
  orders_ = 0;
  ended_ = false;
  proxy_.Open();
  for (const auto& path : paths_) path->SetEngineUp(true);
}

net::awaitable<void> SoakEngine::KillProcess(ProcessKill kill) {
  constexpr std::chrono::milliseconds kLongestWait{500};  // for an answer at that point
  if (!serving() || kill_) co_return;
  const Calm::Token token = judges_.calm.Begin(FaultClass::kProcess);
  const std::string id = id_;
  const int kills = kills_ + 1;
  kill_ = kill;
  const TimePoint limit = Clock::now() + kLongestWait;
  while (kill.point != KillPoint::kAnywhere && kills_ < kills && Clock::now() < limit) {
    co_await Sleep(kLook);
  }
  if (kills_ < kills) {
    kill_.reset();
    if (!serving() || id_ != id) co_return;
    EndProcess();
  }
  co_await Sleep(kill.down);
  StartProcess(kill);
  co_await Sleep(kill.lag);
  if (kills_ == kills && id_ == id && !ended_) Register();
}

void SoakEngine::GoDown() {
  proxy_.Close();
  for (const auto& path : paths_) path->SetEngineUp(false);
  ++breaks_;
}

void SoakEngine::ComeBack(const std::string& prefix) {
  id_ = prefix + "." + std::to_string(++starts_);
  Boot();
  Register();
}

net::awaitable<void> SoakEngine::End() {
  if (ended_) co_return;
  ended_ = true;
  const Calm::Token token = judges_.calm.Begin(FaultClass::kProcess);
  co_await Sleep(random_.Milliseconds(0, 120));
  GoDown();
  const std::string key = platform::key::kBackendPrefix + id_;
  co_await Sleep(random_.Milliseconds(500, 2'500));
  table_.Remove(key);
  release_ = next_release_;
  ComeBack(name_);
}

std::string SoakEngine::Report() const {
  Json report{{"stage", "both"},
              {"models", {{{"name", "m"}, {"version", weights_}, {"adapters", Json::array()}}}},
              {"busy", busy_},
              {"seq", orders_},
              {"queued", queued_},
              {"active", active_}};
  if (tells_start_) report["born"] = born_;
  return report.dump();
}

http::status SoakEngine::TakeOrder(const std::string& body) {
  const Json order = Json::parse(body);
  judges_.orders.Arrived(id_, order.at("holder"), order.at("fence"));
  const int weights = order.at("version");
  if (busy_ || order.value("precondition", orders_) != orders_) return http::status::conflict;
  if (weights == weights_) return http::status::ok;
  ++orders_;
  busy_ = true;
  net::co_spawn(acceptor_.get_executor(), Load(weights, order.at("mode") == "truncate"),
                net::detached);
  return http::status::accepted;
}

net::awaitable<void> SoakEngine::Load(int weights, bool break_runs) {
  const int kills = kills_;
  if (break_runs) ++breaks_;
  while (active_ > 0) co_await Sleep(kLook);
  const bool slow = random_.Chance(kSlowLoadPart);
  co_await Sleep(slow ? random_.Milliseconds(1'000, 4'000) : random_.Milliseconds(100, 400));
  if (kills_ != kills) co_return;
  weights_ = weights;
  busy_ = false;
  Register();
}

}  // namespace ridgehold::soak
