// How an engine's process is killed, and what follows it.

#pragma once

#include <chrono>
#include <string>

namespace ridgehold::soak {

/// How far an answer has been written when the process is killed.
enum class KillPoint { kAnywhere, kAfterHead, kAfterEvent, kInBody };

/// The next process listens at the same address, under the same id.
struct ProcessKill {
  KillPoint point = KillPoint::kAnywhere;
  bool unframed = false;              ///< answers begun until then have neither a length nor chunks
  std::chrono::milliseconds down{0};  ///< until the next process listens
  std::chrono::milliseconds lag{0};   ///< from then on until its registration is written
  std::string release;                ///< of the next process; empty: the same
};

}  // namespace ridgehold::soak
