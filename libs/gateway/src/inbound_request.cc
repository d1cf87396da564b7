#include "gateway/inbound_request.h"

namespace ridgehold {

std::vector<std::uint64_t> SharedPartIds(const GenerationRequest& request) {
  std::vector<std::uint64_t> ids;
  for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) ids.push_back(request.parts[i].id);
  return ids;
}

}  // namespace ridgehold
