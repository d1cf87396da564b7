#include "peers/store_copy.h"

#include <algorithm>
#include <charconv>
#include <unordered_set>
#include <utility>

#include "gateway.pb.h"
#include "net/deflate.h"

namespace ridgehold {
namespace {

constexpr std::string_view kWaitField = "wait=";
constexpr std::string_view kAgeField = "age=";
constexpr std::string_view kDeflateField = "deflate";
constexpr std::string_view kDeflatedChangesField = "deflated-changes";
/// A copy of 20,000 backend servers takes some 8 MB. It is held beside the records that are decoded
/// from it.
constexpr std::size_t kMaxInflatedBytes = std::size_t{24} << 20;

void EncodeChange(const StoreEvent& change, wire::StoredItem& entry) {
  entry.set_key(change.key);
  entry.set_revision(change.revision.value());
  entry.set_removed(!change.item.has_value());
  if (change.item) entry.set_value(change.item->value);
}

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

Result<wire::StoredItems> Unpack(const std::string& packed) {
  const auto bytes = Inflate(packed, kMaxInflatedBytes);
  wire::StoredItems message;
  if (!bytes || !message.ParseFromString(*bytes)) {
    return Fail(ResultCode::kMalformedPeerMessage, "items of a store copy cannot be unpacked");
  }
  return message;
}

/// Adds those packed items to `changes` that are not among them.
void AddUnchanged(const wire::StoredItems& packed, std::vector<StoreEvent>& changes) {
  std::unordered_set<std::string> changed;
  for (const StoreEvent& change : changes) changed.insert(change.key);
  changes.reserve(changes.size() + static_cast<std::size_t>(packed.items_size()));
  for (const wire::StoredItem& entry : packed.items()) {
    if (!changed.contains(entry.key())) changes.push_back(DecodeChange(entry));
  }
}

/// Returns 0 if `text` does not begin with a number.
std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

std::string StoreCopyRequest::ToQuery() const {
  std::string query = std::to_string(revision.value());
  if (wait.count() > 0) query += "&" + std::string(kWaitField) + std::to_string(wait.count());
  if (age) query += "&" + std::string(kAgeField) + std::to_string(age->count());
  if (accepts_deflate) query += "&" + std::string(kDeflateField);
  if (accepts_deflated_changes) query += "&" + std::string(kDeflatedChangesField);
  return query;
}

StoreCopyRequest StoreCopyRequest::FromQuery(std::string_view query) {
  StoreCopyRequest request;
  request.revision = StoreRevision(ParseNumber(query));
  while (!query.empty()) {
    const std::string_view field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(field.size() + 1, query.size()));
    if (field.starts_with(kWaitField)) {
      request.wait = std::chrono::milliseconds(ParseNumber(field.substr(kWaitField.size())));
    } else if (field.starts_with(kAgeField)) {
      request.age = std::chrono::milliseconds(ParseNumber(field.substr(kAgeField.size())));
    } else if (field == kDeflateField) {
      request.accepts_deflate = true;
    } else if (field == kDeflatedChangesField) {
      request.accepts_deflated_changes = true;
    }
  }
  return request;
}

std::string EncodeStoreCopy(const StoreCopy& copy) {
  wire::StoreCopy message;
  message.set_revision(copy.revision.value());
  message.set_age_ms(static_cast<std::uint32_t>(copy.age.count()));
  message.set_whole(copy.is_snapshot);
  message.set_grace_ms(static_cast<std::uint32_t>(copy.grace.count()));
  message.set_store_lost(copy.store_unreachable);
  message.set_held_ms(static_cast<std::uint32_t>(copy.held.count()));
  message.set_deflated_items(copy.packed_items);
  for (const StoreEvent& change : copy.changes) EncodeChange(change, *message.add_items());
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
  copy.held = std::chrono::milliseconds(message.held_ms());
  for (const wire::StoredItem& entry : message.items()) {
    copy.changes.push_back(DecodeChange(entry));
  }
  if (!message.deflated_items().empty()) {
    BOOST_LEAF_AUTO(packed, Unpack(message.deflated_items()));
    AddUnchanged(packed, copy.changes);
    if (copy.is_snapshot) {
      // The result of the changes has no removals.
      std::erase_if(copy.changes, [](const StoreEvent& change) { return !change.item; });
    } else {
      std::ranges::stable_sort(copy.changes, {}, &StoreEvent::revision);
    }
  }
  return copy;
}

std::string PackItems(const std::map<std::string, StoreItem>& items) {
  wire::StoredItems message;
  for (const auto& [key, item] : items) {
    EncodeChange({key, item.revision, item}, *message.add_items());
  }
  return Deflate(message.SerializeAsString());
}

}  // namespace ridgehold
