#include "store.h"

#include <nlohmann/json.hpp>

namespace review {
namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr const char* kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Base64Encode(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kAlphabet[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string Base64Decode(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const auto at = std::string(kAlphabet).find(c);
    if (at == std::string::npos) break;
    group = group << 6 | static_cast<std::uint32_t>(at);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 255);
  }
  return bytes;
}

std::string Decoded(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
    i += 2;
  }
  return decoded;
}

std::string Query(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string field = target.substr(at + 1, end - at - 1);
    if (field.starts_with(name + "=")) return Decoded(field.substr(name.size() + 1));
    at = end;
  }
  return "";
}

std::uint64_t Number(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

}  // namespace

Store::Store(const std::string& address) : address_(address), listener_(Listen(address, 0)) {
  if (!valid()) return;
  std::thread([this] { Serve(); }).detach();
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(5ms);
      ExpireLeases();
    }
  }).detach();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  PutLocked(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  RemoveLocked(key);
}

void Store::PutLocked(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.rev = ++revision_;
  if (item.created == 0) item.created = revision_;
  item.lease = lease;
  history_.push_back({revision_, key, false, item});
  changed_.notify_all();
}

void Store::RemoveLocked(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({++revision_, key, true, {}});
  changed_.notify_all();
}

void Store::Serve() {
  for (;;) {
    Socket socket = Accept(listener_, 1h);
    if (!socket.valid()) continue;
    std::thread([this, connection = std::move(socket)]() mutable {
      ServeConnection(std::move(connection));
    }).detach();
  }
}

void Store::ServeConnection(Socket socket) {
  Reader reader(socket);
  while (const auto request = reader.ReadRequest()) {
    int status = 200;
    const std::string body = Answer(*request, status);
    const std::string head =
        "HTTP/1.1 " + std::to_string(status) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n";
    if (!WriteAll(socket, head + body)) return;
  }
}

std::string Store::Answer(const Request& request, int& status) {
  const std::string& target = request.target;
  const auto number_after = [&](const std::string& prefix) {
    return Number(target.substr(prefix.size()));
  };
  if (target.starts_with("/-/kv-range")) return Range(target);
  if (target.starts_with("/-/kv-watch")) return Watch(target);
  if (target.starts_with("/-/kv-txn")) return Commit(request.body, status);
  if (target.starts_with("/-/kv-lease-end/")) {
    EndLease(number_after("/-/kv-lease-end/"));
    return "{}";
  }
  if (target.starts_with("/-/kv-lease")) return GrantLease(request.body);
  if (target.starts_with("/-/kv-keep/")) return RenewLease(number_after("/-/kv-keep/"), status);
  status = 404;
  return "{}";
}

std::string Store::Range(const std::string& target) {
  const std::lock_guard lock(mutex_);
  const std::string prefix = Query(target, "prefix");
  const std::string after = Query(target, "after");
  Json items = Json::array();
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
    items.push_back({{"key", key},
                     {"value", Base64Encode(item.value)},
                     {"rev", item.rev},
                     {"created", item.created},
                     {"lease", item.lease}});
  }
  return Json{{"items", items}, {"has_more", false}, {"store_revision", revision_}}.dump();
}

std::string Store::Watch(const std::string& target) {
  const std::string prefix = Query(target, "prefix");
  const std::uint64_t after = Number(Query(target, "after"));
  const auto until = Clock::now() + std::chrono::milliseconds(Number(Query(target, "wait_ms")));
  std::unique_lock lock(mutex_);
  for (;;) {
    Json events = Json::array();
    for (const Change& change : history_) {
      if (change.rev <= after || !change.key.starts_with(prefix)) continue;
      if (change.removed) {
        events.push_back({{"key", change.key}, {"rev", change.rev}, {"removed", true}});
      } else {
        events.push_back({{"key", change.key},
                          {"value", Base64Encode(change.item.value)},
                          {"rev", change.rev},
                          {"created", change.item.created},
                          {"lease", change.item.lease}});
      }
    }
    if (!events.empty() || Clock::now() >= until) {
      return Json{{"events", events}, {"store_revision", revision_}}.dump();
    }
    changed_.wait_until(lock, until);
  }
}

std::string Store::Commit(const std::string& body, int& status) {
  const Json call = Json::parse(body);
  const std::lock_guard lock(mutex_);
  Json current = Json::array();
  bool holds = true;
  for (const Json& row : call.value("precondition", Json::array())) {
    const auto item = items_.find(row.at("key").get<std::string>());
    const std::uint64_t rev = item == items_.end() ? 0 : item->second.rev;
    holds = holds && rev == row.at("rev").get<std::uint64_t>();
    if (item != items_.end()) current.push_back({{"key", item->first}, {"rev", rev}});
  }
  if (!holds) {
    status = 412;
    return Json{{"items", current}}.dump();
  }
  for (const Json& put : call.value("puts", Json::array())) {
    const auto lease = put.value("lease", std::uint64_t{0});
    if (lease == 0 || leases_.contains(lease)) continue;
    status = 404;
    return "{}";
  }
  for (const Json& put : call.value("puts", Json::array())) {
    PutLocked(put.at("key"), Base64Decode(put.at("value")), put.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : call.value("remove", Json::array())) RemoveLocked(key);
  return Json{{"rev", revision_}}.dump();
}

std::string Store::GrantLease(const std::string& body) {
  const std::chrono::milliseconds ttl(Json::parse(body).at("ttl_ms").get<std::int64_t>());
  const std::lock_guard lock(mutex_);
  leases_[++last_lease_] = {ttl, Clock::now() + ttl};
  return Json{{"lease", last_lease_}, {"ttl_ms", ttl.count()}}.dump();
}

std::string Store::RenewLease(std::uint64_t id, int& status) {
  const std::lock_guard lock(mutex_);
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    status = 404;
    return "{}";
  }
  found->second.end = Clock::now() + found->second.ttl;
  return Json{{"lease", id}, {"ttl_ms", found->second.ttl.count()}}.dump();
}

void Store::EndLease(std::uint64_t id) {
  const std::lock_guard lock(mutex_);
  if (leases_.erase(id) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == id) keys.push_back(key);
  }
  for (const std::string& key : keys) RemoveLocked(key);
}

void Store::ExpireLeases() {
  std::vector<std::uint64_t> ended;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, lease] : leases_) {
      if (Clock::now() >= lease.end) ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) EndLease(id);
}

}  // namespace review
