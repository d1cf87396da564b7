// The way of one instance to one engine.

#pragma once

#include <optional>
#include <string>

#include "fault_proxy.h"

namespace ridgehold::soak {

/// How a way is cut.
enum class PathCut {
  kSilent,      ///< bytes and connects are lost
  kReset,       ///< connections are reset, new ones refused
  kRefusesNew,  ///< connections live on, new ones are refused
};

/// A proxy that is cut by faults and follows the life of the engine behind it: where the engine's
/// process has ended, connects are refused here as well.
class InstancePath {
 public:
  InstancePath(net::any_io_executor executor, const std::string& engine,
               const tcp::endpoint& listen)
      : proxy_(executor, engine, listen) {}

  void Cut(PathCut cut);
  void Heal();
  /// The engine's process has ended, and its connections have been reset, or runs.
  void SetEngineUp(bool up);
  /// The engine's process has been killed: its connections end after what it wrote.
  void KillEngine();

 private:
  enum class EngineState { kUp, kDown, kKilled };

  void Apply();

  FaultProxy proxy_;
  std::optional<PathCut> cut_;
  int cuts_ = 0;  ///< at work; they may overlap
  EngineState engine_ = EngineState::kUp;
};

}  // namespace ridgehold::soak
