#include "process_status.h"

#include <fstream>
#include <string>
#include <string_view>

namespace ridgehold::soak {

ProcessStatus ReadProcessStatus(pid_t process) {
  constexpr int kHexadecimal = 16;
  constexpr std::string_view kBlocked = "SigBlk:";
  constexpr std::string_view kCaught = "SigCgt:";
  constexpr std::string_view kThreads = "Threads:";
  constexpr std::string_view kPeakResident = "VmHWM:";
  constexpr std::size_t kKilobyte = 1'024;
  ProcessStatus status;
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kBlocked)) {
      status.blocked = std::stoull(line.substr(kBlocked.size()), nullptr, kHexadecimal);
    } else if (line.starts_with(kCaught)) {
      status.caught = std::stoull(line.substr(kCaught.size()), nullptr, kHexadecimal);
    } else if (line.starts_with(kThreads)) {
      status.threads = std::stoi(line.substr(kThreads.size()));
    } else if (line.starts_with(kPeakResident)) {
      status.peak_resident_bytes = std::stoull(line.substr(kPeakResident.size())) * kKilobyte;
    }
  }
  return status;
}

}  // namespace ridgehold::soak
