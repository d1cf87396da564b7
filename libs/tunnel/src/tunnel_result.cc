#include "tunnel/tunnel_result.h"

#include <algorithm>
#include <array>

namespace ridgehold {
namespace {

struct Description {
  std::string_view name;
  http::status status;
};

constexpr std::array<Description, 9> kDescriptions = {{
    {"open", http::status::ok},
    {"unknown_backend", http::status::not_found},
    {"leaving", http::status::gone},
    {"refused", http::status::bad_gateway},
    {"unreachable", http::status::gateway_timeout},
    {"isolated", http::status::service_unavailable},
    {"full", http::status::service_unavailable},
    {"stopping", http::status::service_unavailable},
    {"peer_failed", http::status::bad_gateway},
}};

const Description& Describe(TunnelResult result) {
  return kDescriptions.at(static_cast<std::size_t>(result));
}

}  // namespace

std::string_view NameOf(TunnelResult result) { return Describe(result).name; }

http::status StatusOf(TunnelResult result) { return Describe(result).status; }

TunnelResult ParseTunnelResult(std::string_view name) {
  const auto found = std::ranges::find(kDescriptions, name, &Description::name);
  if (found == kDescriptions.end()) return TunnelResult::kPeerFailed;
  return static_cast<TunnelResult>(found - kDescriptions.begin());
}

}  // namespace ridgehold
