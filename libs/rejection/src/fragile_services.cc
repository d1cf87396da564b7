#include "rejection/fragile_services.h"

namespace ridgehold {

bool FragileServices::Record(const ServiceId& service, RejectionLimit limit, TimePoint now) {
  const bool is_new = !LimitOf(service, now);
  services_[service] = {limit, now};
  return is_new;
}

std::optional<RejectionLimit> FragileServices::LimitOf(const ServiceId& service,
                                                       TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end() || now - found->second.seen_at >= kMemory) return std::nullopt;
  return found->second.limit;
}

}  // namespace ridgehold
