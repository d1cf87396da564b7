#include "instance_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <deque>
#include <fstream>
#include <stdexcept>

#include "bounds.h"
#include "platform/names.h"
#include "process_status.h"
#include "published_address.h"

namespace ridgehold::soak {
namespace {

constexpr int kExecFailed = 127;
// The smallest that the kernel allows, so that a few log lines fill it.
constexpr int kUnreadPipeBytes = 4'096;
constexpr int kMaxDescriptors = 1'000;

int NextSerial() {
  static int last = 0;
  return ++last;
}

}  // namespace

InstanceProcess::InstanceProcess(InstancePlace place, std::filesystem::path program,
                                 std::filesystem::path folder)
    : place_(std::move(place)), program_(std::move(program)), folder_(std::move(folder)) {
  WriteSettings();
}

InstanceProcess::~InstanceProcess() {
  if (unread_output_ >= 0) ::close(unread_output_);
  if (!Running()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status_, 0);
}

void InstanceProcess::Start() {
  const pid_t parent = ::getpid();
  const int output = OpenOutput();
  const pid_t child = ::fork();
  if (child < 0) throw std::runtime_error("fork failed");
  if (child == 0) {
    // The instance must not outlive a soak that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(kExecFailed);
    Become(output);
  }
  ::close(output);
  takes_signals_ = false;
  stopped_ = false;
  undisturbed_since_ = Clock::now();
  pid_ = child;
  serial_ = NextSerial();
}

int InstanceProcess::OpenOutput() {
  if (!place_.surroundings.unread_output) {
    return ::open(LogPath().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  }
  std::array<int, 2> ends{-1, -1};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) throw std::runtime_error("pipe failed");
  ::fcntl(ends[1], F_SETPIPE_SZ, kUnreadPipeBytes);
  if (unread_output_ >= 0) ::close(unread_output_);
  unread_output_ = ends[0];
  return ends[1];
}

void InstanceProcess::LimitSurroundings() const {
  if (place_.surroundings.max_descriptors > 0) {
    const auto most = static_cast<rlim_t>(place_.surroundings.max_descriptors);
    const rlimit limit{most, most};
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  sigset_t signals;
  ::sigemptyset(&signals);
  // The signal that ends a suspension would end a program that does not handle it yet.
  ::sigaddset(&signals, SIGRTMIN);
  if (signals_blocked_) {
    ::sigaddset(&signals, SIGHUP);
    ::sigaddset(&signals, SIGTERM);
  }
  ::sigprocmask(SIG_BLOCK, &signals, nullptr);
}

std::vector<std::string> InstanceProcess::Arguments() const {
  std::vector<std::string> arguments = {program_.string(), "--log-level", "info"};
  if (!place_.egress.empty()) {
    arguments.insert(arguments.end(), {"--network.egress-address", place_.egress});
  }
  if (place_.surroundings.metrics) {
    arguments.insert(arguments.end(), {"--metrics-port", std::to_string(kMetricsPort)});
  }
  return arguments;
}

void InstanceProcess::Become(int output) const {
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::setenv(platform::kSettingsPathVariable, SettingsPath().c_str(), 1);
  if (!place_.published.empty()) {
    ::setenv(kPublishedAddressVariable, place_.published.c_str(), 1);
    ::setenv(kBoundAddressVariable, place_.address.c_str(), 1);
  }
  LimitSurroundings();
  std::vector<std::string> arguments = Arguments();
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  ::execv(program_.c_str(), pointers.data());
  ::_exit(kExecFailed);
}

void InstanceProcess::Signal(int signal) {
  if (signal == SIGSTOP) stopped_ = true;
  if (signal == SIGCONT) {
    stopped_ = false;
    undisturbed_since_ = Clock::now();
  }
  if (signal == SIGKILL) killed_.insert(serial_);
  if (signal == SIGTERM) told_to_end_.try_emplace(serial_, Clock::now());
  if (pid_ > 0) ::kill(pid_, signal);
}

bool InstanceProcess::WasKilled(int serial) const {
  if (killed_.contains(serial)) return true;
  const auto told = told_to_end_.find(serial);
  return told != told_to_end_.end() && Clock::now() > told->second + kShutdownLimit;
}

void InstanceProcess::Queue(int signal, int value) const {
  sigval carried{};
  carried.sival_int = value;
  if (pid_ > 0) ::sigqueue(pid_, signal, carried);
}

bool InstanceProcess::Running() {
  if (pid_ == 0) return false;
  const pid_t ended = ::waitpid(pid_, &status_, WNOHANG);
  if (ended == 0) return true;
  pid_ = 0;
  return false;
}

bool InstanceProcess::TakesSignals() {
  if (takes_signals_ || pid_ == 0) return takes_signals_;
  const ProcessStatus status = ReadProcessStatus(pid_);
  // No program starts a thread while it is loaded.
  takes_signals_ = status.Catches(SIGHUP) || status.Blocks(SIGHUP) || status.threads > 1;
  return takes_signals_;
}

bool InstanceProcess::ExceedsMemory() const {
  constexpr std::size_t kMegabyte = std::size_t{1} << 20;
  if (place_.surroundings.memory_mb == 0 || pid_ == 0) return false;
  const auto most = static_cast<std::size_t>(place_.surroundings.memory_mb) * kMegabyte;
  return ReadProcessStatus(pid_).peak_resident_bytes > most;
}

std::string InstanceProcess::EndSignal() const {
  const bool by_signal = WIFSIGNALED(status_) && WTERMSIG(status_) != SIGKILL;
  return by_signal ? "signal " + std::to_string(WTERMSIG(status_)) : "";
}

std::string InstanceProcess::LastLogLines(std::size_t count) const {
  std::ifstream log(LogPath());
  std::deque<std::string> lines;
  for (std::string line; std::getline(log, line);) {
    lines.push_back(line);
    if (lines.size() > count) lines.pop_front();
  }
  std::string text;
  for (const std::string& line : lines) text += "  " + line + "\n";
  return text;
}

void InstanceProcess::WriteSettings() const {
  const auto listen = [this](int port) { return place_.address + ":" + std::to_string(port); };
  std::ofstream file(SettingsPath());
  file << "node=" << place_.name << "\nzone=a\nip=" << PublishedAddress()
       << "\nlisten.front=" << listen(kCallerPort) << "\nlisten.ready=" << listen(kReadyPort)
       << "\nlisten.control=" << listen(kControlPort) << "\ninternal_ports=" << kPeerPort << ",7355"
       << "\nbootstrap=true\nseeds=" << place_.seeds << "\nplatform.addr=" << place_.store_address
       << "\nplatform.ttl_min_ms=" << kLeastLeaseTtl.count() << "\nlimits.max_fds="
       << (place_.surroundings.max_descriptors > 0 ? place_.surroundings.max_descriptors
                                                   : kMaxDescriptors)
       << "\nbounds.revoke_strict=true\nbounds.revoke_ms=" << kRevocationLimit.count()
       << "\nbounds.lease_ms=" << kHolderSeparation.count()
       << "\nbounds.version_ms=" << kWeightsLimit.count() << "\nbounds.retry_ratio=" << kRetryRatio
       << "\nbounds.retry_window_s=" << kRetryWindow.count()
       << "\nbounds.retry_slack=" << kRetrySlack
       << "\nbounds.grace_s=" << kShutdownLimit.count() / 1'000 << "\n";
  if (place_.surroundings.memory_mb > 0) {
    file << "limits.memory_mb=" << place_.surroundings.memory_mb << "\n";
  }
}

}  // namespace ridgehold::soak
