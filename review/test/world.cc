#include "world.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace review {
namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr int kExecFailed = 127;
// With 64 KiB at a time, a slow replica reads 0.3 MB a second.
constexpr auto kSlowReadPause = 200ms;

/// The words of `run` in deploy/system.toml.
std::vector<std::string> DeployCommand() {
  std::ifstream file("deploy/system.toml");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with("run")) continue;
    const auto first = line.find('"');
    const auto last = line.rfind('"');
    if (first == std::string::npos || last <= first) continue;
    std::istringstream words(line.substr(first + 1, last - first - 1));
    std::vector<std::string> command;
    for (std::string word; words >> word;) command.push_back(word);
    return command;
  }
  return {};
}

/// The fields of DEPLOY.md, with the values of amakusa-kyu.
void WriteSettings(const EntryProcess::Options& options, const std::string& path) {
  const auto listen = [&](int port) { return options.address + ":" + std::to_string(port); };
  std::ofstream file(path);
  file << "node=" << options.name
       << "\nrole=entry\nmachine_class=edge\nserves=edge,ctl\nip=" << options.address
       << "\nzone=" << options.zone
       << "\nregion=region-a\nzones.zone-a=region-a\nzones.zone-b=region-a"
       << "\nlisten.front=" << listen(kFrontPort) << "\nlisten.ready=" << listen(kReadyPort)
       << "\nlisten.control=" << listen(kControlPort) << "\ninternal_ports=7340,7355"
       << "\nseeds=" << options.seeds << "\nbootstrap=true\nloss_counts=false"
       << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100"
       << "\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip"
       << "\nheartbeat_ms=1200"
       << "\ncontracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform"
       << "\nfault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0"
       << "\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000"
       << "\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8"
       << "\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.downgrade_ms=250"
       << "\nbounds.skew_max_ms=5000\nbounds.revoke_strict=true\nbounds.revoke_ms=5000"
       << "\nbounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=56"
       << "\nbounds.recover_s=12\nbounds.transit_ms=120\nbounds.reuse_window_s=10"
       << "\nbounds.fencing=false\nbounds.lease_ms=3000\nbounds.thaw_ms=300"
       << "\nbounds.version_ms=10000\nbounds.version_all_ms=14000"
       << "\nplatform.addr=" << options.store_address
       << "\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000"
       << "\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
}

}  // namespace

bool Plays(const std::string& part) {
  const char* const trouble = std::getenv("TROUBLE");
  const std::string parts = trouble == nullptr ? "" : trouble;
  return parts.empty() || parts == "1" || parts == part;
}

Record::Record(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start_);
  const std::string text = std::to_string(ms.count()) + " ms  " + line + "\n";
  if (::write(file_, text.data(), text.size()) < 0) return;
}

std::string OwnAddress(int host) {
  const int own = ::getpid();
  return "127." + std::to_string(20 + own % 200) + "." + std::to_string(1 + own / 200 % 250) + "." +
         std::to_string(host);
}

EntryProcess::EntryProcess(Options options) : options_(std::move(options)) {}

EntryProcess::~EntryProcess() { Kill(); }

bool EntryProcess::Start() {
  std::vector<std::string> command = DeployCommand();
  if (command.empty() || ::access(command.front().c_str(), X_OK) != 0) return false;
  command.insert(command.end(), options_.extra_arguments.begin(), options_.extra_arguments.end());
  const std::string settings = options_.folder + "/" + options_.name + ".conf";
  const std::string log = options_.folder + "/" + options_.name + ".log";
  WriteSettings(options_, settings);
  std::vector<char*> arguments;
  for (std::string& word : command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child < 0) return false;
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(kExecFailed);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::setenv("RIDGEHOLD_BOOT", settings.c_str(), 1);
    ::execv(arguments.front(), arguments.data());
    ::_exit(kExecFailed);
  }
  pid_ = child;
  return true;
}

void EntryProcess::Signal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
}

void EntryProcess::Kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

std::size_t EntryProcess::Memory() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return std::stoul(line.substr(6)) * 1024;
  }
  return 0;
}

bool EntryProcess::Ready() const {
  const Socket socket = Connect(options_.address, kReadyPort, 500ms);
  if (!socket.valid()) return false;
  WriteAll(socket, "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
  Reader reader(socket);
  const auto head = reader.ReadHead(1s);
  return head && head->status == 200;
}

bool WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
  const auto end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

void SleepFor(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

Replica::Replica(Store& store, const std::string& address, Entry entry, Handler handler,
                 std::uint16_t port)
    : store_(store),
      address_(address),
      entry_(std::move(entry)),
      handler_(std::move(handler)),
      listener_(Listen(address, port)),
      port_(PortOf(listener_)) {
  if (valid()) std::thread([this] { Serve(); }).detach();
}

void Replica::Register() {
  Json entry = {{"service", entry_.service}, {"addr", address()}, {"zone", "zone-a"},
                {"version", entry_.version}, {"slots", 64},       {"state", "ready"},
                {"cold_left_ms", 0},         {"seq", 1}};
  if (entry_.engine) {
    entry["stage"] = "both";
    entry["models"] = {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}};
  }
  store_.Put("servers/" + entry_.id, entry.dump());
}

void Replica::Deregister() { store_.Remove("servers/" + entry_.id); }

void Replica::Serve() {
  while (!exited_) {
    Socket socket = Accept(listener_, 20ms);
    if (!socket.valid()) continue;
    std::thread([this, connection = std::move(socket)]() mutable {
      ServeConnection(std::move(connection));
    }).detach();
  }
  listener_.Close();
  closed_ = true;
}

void Replica::Exit() {
  exited_ = true;
  {
    const std::lock_guard lock(mutex_);
    for (const int descriptor : open_) ::shutdown(descriptor, SHUT_RDWR);
  }
  while (!closed_) std::this_thread::sleep_for(1ms);
}

void Replica::ServeConnection(Socket socket) {
  const int descriptor = socket.get();
  {
    const std::lock_guard lock(mutex_);
    open_.insert(descriptor);
  }
  ServeRequests(socket);
  const std::lock_guard lock(mutex_);
  open_.erase(descriptor);
}

void Replica::ServeRequests(Socket& socket) {
  Reader reader(socket);
  for (bool open = true; open && !exited_;) {
    const auto request = reader.ReadRequest({on_head_, [this] {
                                               if (slow_)
                                                 std::this_thread::sleep_for(kSlowReadPause);
                                             }});
    if (!request) return;
    open = Respond(*request, socket);
  }
}

bool Replica::Respond(const Request& request, Socket& socket) {
  const std::string expected = request.Field("x-expect-instance");
  if (!expected.empty() && expected != entry_.id) {
    return SendResponse(socket, request, 421, "X-Instance: " + entry_.id + "\r\n", "");
  }
  if (request.target == "/healthz") {
    return SendResponse(socket, request, 200, "X-Instance: " + entry_.id + "\r\n", "");
  }
  if (request.target == "/-/report") {
    const Json report = {{"stage", "both"},
                         {"models", {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}}},
                         {"busy", false},
                         {"seq", 0},
                         {"queued", 0},
                         {"active", 0},
                         {"kv_used", 0},
                         {"kv_total", 90'000},
                         {"handles", 0}};
    return SendResponse(socket, request, 200, "Content-Type: application/json\r\n", report.dump());
  }
  if (request.target.starts_with("/-/")) return SendResponse(socket, request, 404, "", "");
  return handler_(request, socket);
}

bool SendResponse(const Socket& socket, const Request& request, int status,
                  const std::string& fields, const std::string& body) {
  const std::string id = request.Field("x-request-id");
  return WriteAll(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
                              (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + fields +
                              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

Answer Channel::Call(const std::string& head, const std::string& body,
                     std::chrono::milliseconds limit) {
  const auto until = Clock::now() + limit;
  Answer answer;
  // The server may have closed it meanwhile.
  if (socket_.valid() && PeerHasClosed(socket_)) socket_.Close();
  if (!socket_.valid()) socket_ = Connect(address_, kFrontPort, 1s);
  if (socket_.valid() && WriteAll(socket_, head + body)) {
    Reader reader(socket_);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
    if (const auto read = reader.ReadHead(left)) {
      answer.head = *read;
      answer.status = read->status;
      answer.complete = reader.ReadBody(*read, answer.body, until) == Reader::End::kComplete;
    }
  }
  if (!answer.complete || answer.head.Field("connection") == "close") socket_.Close();
  return answer;
}

Answer Call(const std::string& address, const std::string& head, const std::string& body,
            std::chrono::milliseconds limit) {
  return Channel(address).Call(head, body, limit);
}

std::vector<int> EventNumbers(const std::string& stream) {
  std::vector<int> numbers;
  for (std::size_t at = 0; (at = stream.find("id: ", at)) != std::string::npos; at += 4) {
    // An event counts if its blank line has come.
    if (stream.find("\n\n", at) == std::string::npos) break;
    numbers.push_back(std::atoi(stream.c_str() + at + 4));
  }
  return numbers;
}

}  // namespace review
