#include "resumption/origin_finding.h"

namespace ridgehold {

std::string_view NameOf(OriginSource source) {
  switch (source) {
    case OriginSource::kOwn:
      return "own";
    case OriginSource::kStore:
      return "store";
    case OriginSource::kPeer:
      return "peer";
    case OriginSource::kSingleRelease:
      return "single_release";
    case OriginSource::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace ridgehold
