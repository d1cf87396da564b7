// What the kernel tells of a process.

#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace ridgehold::soak {

/// Signals of a process, its threads and memory.
struct ProcessStatus {
  std::uint64_t blocked = 0;  ///< a bit for each signal, the lowest for signal 1
  std::uint64_t caught = 0;
  int threads = 0;
  std::size_t peak_resident_bytes = 0;

  bool Blocks(int signal) const { return (blocked >> (signal - 1) & 1) != 0; }
  bool Catches(int signal) const { return (caught >> (signal - 1) & 1) != 0; }
};

/// All is 0 for a process that does not exist.
ProcessStatus ReadProcessStatus(pid_t process);

}  // namespace ridgehold::soak
