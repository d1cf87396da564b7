#include "peers/store_copy.h"

#include "gateway.pb.h"

namespace ridgehold {
namespace {

StoreEvent DecodeChange(const wire::StoredItem& entry) {
  StoreEvent change;
  change.key = entry.key();
  change.revision = StoreRevision(entry.revision());
  if (entry.removed()) return change;
  StoreItem item;
  item.key = entry.key();
  item.value = entry.value();
  item.revision = change.revision;
  change.item = std::move(item);
  return change;
}

}  // namespace

std::string EncodeStoreCopy(const StoreCopy& copy) {
  wire::StoreCopy message;
  message.set_revision(copy.revision.value());
  message.set_age_ms(static_cast<std::uint32_t>(copy.age.count()));
  message.set_whole(copy.is_snapshot);
  message.set_grace_ms(static_cast<std::uint32_t>(copy.grace.count()));
  message.set_store_lost(copy.store_unreachable);
  for (const StoreEvent& change : copy.changes) {
    wire::StoredItem& entry = *message.add_items();
    entry.set_key(change.key);
    entry.set_revision(change.revision.value());
    entry.set_removed(!change.item.has_value());
    if (change.item) entry.set_value(change.item->value);
  }
  return message.SerializeAsString();
}

Result<StoreCopy> DecodeStoreCopy(std::string_view bytes) {
  wire::StoreCopy message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(ResultCode::kMalformedPeerMessage, "store copy cannot be parsed");
  }
  StoreCopy copy;
  copy.revision = StoreRevision(message.revision());
  copy.age = std::chrono::milliseconds(message.age_ms());
  copy.is_snapshot = message.whole();
  copy.grace = std::chrono::milliseconds(message.grace_ms());
  copy.store_unreachable = message.store_lost();
  for (const wire::StoredItem& entry : message.items()) {
    copy.changes.push_back(DecodeChange(entry));
  }
  return copy;
}

}  // namespace ridgehold
