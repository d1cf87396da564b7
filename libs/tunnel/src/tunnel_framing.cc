#include "tunnel/tunnel_framing.h"

namespace ridgehold {

StreamFraming TunnelFramingOf(const http::fields& head) {
  const auto field = head.find(kTunnelFramingField);
  const bool records = field != head.end() && field->value() == kRecordFraming;
  return records ? StreamFraming::kRecords : StreamFraming::kOpaque;
}

}  // namespace ridgehold
