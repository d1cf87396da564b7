#include "instance_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <deque>
#include <fstream>
#include <stdexcept>

#include "bounds.h"
#include "platform/names.h"
#include "published_address.h"

namespace ridgehold::soak {
namespace {

constexpr int kExecFailed = 127;

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
  if (!Running()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status_, 0);
}

void InstanceProcess::Start() {
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child < 0) throw std::runtime_error("fork failed");
  if (child == 0) {
    // The instance must not outlive a soak that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(kExecFailed);
    Become();
  }
  pid_ = child;
  serial_ = NextSerial();
}

void InstanceProcess::Become() const {
  const int log = ::open(LogPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::setenv(platform::kSettingsPathVariable, SettingsPath().c_str(), 1);
  if (!place_.published.empty()) {
    ::setenv(kPublishedAddressVariable, place_.published.c_str(), 1);
    ::setenv(kBoundAddressVariable, place_.address.c_str(), 1);
  }
  // The signal that ends a suspension would end a program that does not handle it yet.
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGRTMIN);
  ::sigprocmask(SIG_BLOCK, &signals, nullptr);
  const char* const name = program_.c_str();
  if (place_.egress.empty()) {
    ::execl(name, name, "--log-level", "info", nullptr);
  } else {
    ::execl(name, name, "--log-level", "info", "--network.egress-address", place_.egress.c_str(),
            nullptr);
  }
  ::_exit(kExecFailed);
}

void InstanceProcess::Signal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
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
       << "\nplatform.ttl_min_ms=" << kLeastLeaseTtl.count() << "\nlimits.max_fds=1000"
       << "\nbounds.revoke_strict=true\nbounds.revoke_ms=" << kRevocationLimit.count()
       << "\nbounds.lease_ms=" << kHolderSeparation.count()
       << "\nbounds.version_ms=" << kWeightsLimit.count() << "\nbounds.retry_ratio=" << kRetryRatio
       << "\nbounds.retry_window_s=" << kRetryWindow.count()
       << "\nbounds.retry_slack=" << kRetrySlack
       << "\nbounds.grace_s=" << kShutdownLimit.count() / 1'000 << "\n";
}

}  // namespace ridgehold::soak
