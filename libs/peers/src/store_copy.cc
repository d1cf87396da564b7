#include "peers/store_copy.h"

#include "gateway.pb.h"

namespace ridgehold {

std::string EncodeStoreCopy(const StoreCopy& copy) {
  wire::StoreCopy message;
  message.set_revision(copy.revision.value());
  message.set_age_ms(static_cast<std::uint32_t>(copy.age.count()));
  for (const StoreItem& item : copy.items) {
    wire::StoredItem& entry = *message.add_items();
    entry.set_key(item.key);
    entry.set_value(item.value);
    entry.set_revision(item.revision.value());
  }
  return message.SerializeAsString();
}

Result<StoreCopy> DecodeStoreCopy(std::string_view bytes) {
  wire::StoreCopy message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(ResultCode::kMalformedPeerMessage, "not a copy of the store");
  }
  StoreCopy copy;
  copy.revision = StoreRevision(message.revision());
  copy.age = std::chrono::milliseconds(message.age_ms());
  for (const wire::StoredItem& entry : message.items()) {
    copy.items.push_back({entry.key(), entry.value(), StoreRevision(entry.revision()), {}});
  }
  return copy;
}

}  // namespace ridgehold
