#include "gateway/gateway_gossip.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ridgehold {

BackendHash HashOf(const BackendId& id, StartStamp started) {
  return XXH3_64bits_withSeed(id.value().data(), id.value().size(), started.value());
}

}  // namespace ridgehold
