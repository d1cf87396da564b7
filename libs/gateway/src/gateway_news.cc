#include "gateway/gateway_news.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ridgehold {

BackendHash HashOf(const BackendId& id) {
  return XXH3_64bits(id.value().data(), id.value().size());
}

}  // namespace ridgehold
