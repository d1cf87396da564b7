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
  engine_up_ = up;
  Apply();
}

void InstancePath::Apply() {
  if (!engine_up_) return proxy_.Close();
  if (!cut_) return proxy_.Restore();
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
