#include "instance_path.h"

namespace ridgehold::soak {

void InstancePath::Cut(PathCut cut) {
  ++cuts_;
  cut_ = cut;
  Apply();
}

void InstancePath::Heal() {
  if (--cuts_ > 0) return;
  cut_.reset();
  Apply();
}

void InstancePath::SetEngineUp(bool up) {
  engine_ = up ? EngineState::kUp : EngineState::kDown;
  Apply();
}

void InstancePath::KillEngine() {
  engine_ = EngineState::kKilled;
  Apply();
}

void InstancePath::Apply() {
  if (engine_ == EngineState::kDown) return proxy_.Close();
  if (!cut_ && engine_ == EngineState::kUp) return proxy_.Restore();
  if (!cut_) {
    proxy_.Set({});
    return proxy_.EndServer();
  }
  switch (*cut_) {
    case PathCut::kSilent:
      return proxy_.Silence();
    case PathCut::kReset:
      return proxy_.Close();
    case PathCut::kRefusesNew:
      return proxy_.RefuseNew();
  }
}

}  // namespace ridgehold::soak
