#include "operator_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "bounds.h"
#include "platform/names.h"

namespace ridgehold::soak {
namespace {

using Json = nlohmann::json;

constexpr int kWorkspaces = 3;
constexpr double kIsolatedPart = 0.4;  // of the workspaces, by one change
constexpr double kOldKeyPart = 0.15;   // requests with the key that was taken away last

Json Route(const char* name, const char* type, bool resumable) {
  return {{"name", name},
          {"host", "h"},
          {"prefix", std::string("/") + name + "/"},
          {"type", type},
          {"timeout_ms", kRouteTimeout.count()},
          {"slo_ms", 300},
          {"priority", 0},
          {"service", "llm"},
          {"attempts", 3},
          {"public", false},
          {"sticky", true},
          {"resumable", resumable},
          {"gap_target_ms", 500}};
}

Json Service() {
  return {{"name", "llm"},
          {"health_path", "/healthz"},
          {"max_conns", 200},
          {"engine", {{"slots", 8}, {"kv_capacity", 90'000}, {"max_inflight", 12}}}};
}

}  // namespace

OperatorLog::OperatorLog(ridgehold::test::MemoryTable& table) : table_(table) {
  for (int i = 0; i < kWorkspaces; ++i) {
    const std::string key = "key" + std::to_string(i);
    keys_[key] = {.workspace = "w" + std::to_string(i), .granted = version_};
    order_.push_back(key);
  }
  WriteConfig();
  NameWeights();
}

void OperatorLog::ChangeKey(Random& random) {
  version_ += random.Between(1, 5);
  const std::string workspace = "w" + std::to_string(random.Between(1, kWorkspaces - 1));
  for (auto& [key, record] : keys_) {
    if (record.workspace == workspace && record.revoked == 0) record.revoked = version_;
  }
  const std::string fresh = "key" + std::to_string(keys_.size());
  keys_[fresh] = {.workspace = workspace, .granted = version_};
  order_.push_back(fresh);
  WriteConfig();
  for (auto& [key, record] : keys_) {
    if (record.revoked == version_) record.revoked_at = Clock::now();
  }
}

void OperatorLog::AddRoutes(int count, int spare_keys) {
  ++version_;
  added_routes_ = count;
  for (int i = 0; i < spare_keys; ++i) {
    const std::string key = "key" + std::to_string(keys_.size());
    keys_[key] = {.workspace = "w1", .granted = version_};
    order_.push_back(key);
    spare_keys_.push_back(key);
  }
  WriteConfig();
}

bool OperatorLog::TakeSpareKey() {
  // Some may have been taken away with all keys of their workspace.
  std::erase_if(spare_keys_, [this](const std::string& key) { return keys_[key].revoked != 0; });
  if (spare_keys_.empty()) return false;
  KeyRecord& record = keys_[spare_keys_.front()];
  spare_keys_.erase(spare_keys_.begin());
  record.revoked = ++version_;
  WriteConfig();
  record.revoked_at = Clock::now();
  return true;
}

void OperatorLog::ToggleWorkspaces() {
  ++version_;
  const bool has_some =
      std::ranges::any_of(keys_, [](const auto& entry) { return entry.second.revoked == 0; });
  if (has_some) {
    for (auto& [key, record] : keys_) {
      if (record.revoked == 0) record.revoked = version_;
    }
  } else {
    for (int i = 0; i < kWorkspaces; ++i) {
      const std::string key = "key" + std::to_string(keys_.size());
      keys_[key] = {.workspace = "w" + std::to_string(i), .granted = version_};
      order_.push_back(key);
    }
  }
  WriteConfig();
  for (auto& [key, record] : keys_) {
    if (record.revoked == version_) record.revoked_at = Clock::now();
  }
}

void OperatorLog::ChangeIsolated(Random& random) {
  ++version_;
  std::map<std::string, TimePoint> isolated;
  for (int i = 0; i < kWorkspaces; ++i) {
    const std::string workspace = "w" + std::to_string(i);
    const auto before = isolated_.find(workspace);
    if (!random.Chance(kIsolatedPart)) continue;
    isolated[workspace] = before == isolated_.end() ? TimePoint::max() : before->second;
  }
  isolated_ = std::move(isolated);
  WriteConfig();
  for (auto& [workspace, since] : isolated_) since = std::min(since, Clock::now());
}

void OperatorLog::SetMaxBody(std::size_t bytes) {
  ++version_;
  max_body_ = bytes;
  WriteConfig();
}

std::optional<TimePoint> OperatorLog::IsolatedSince(const std::string& workspace) const {
  const auto found = isolated_.find(workspace);
  return found == isolated_.end() ? std::nullopt : std::optional(found->second);
}

void OperatorLog::SetIdleLimit(std::chrono::milliseconds limit) {
  ++version_;
  idle_limit_ = limit;
  WriteConfig();
}

void OperatorLog::NameWeights() {
  named_.push_back(Clock::now());
  table_.Put(std::string(platform::key::kWeightsPrefix) + "m",
             Json{{"model", "m"}, {"version", weights()}}.dump());
}

std::string OperatorLog::PickKey(Random& random) const {
  std::vector<std::string> valid;
  std::string newest_revoked;
  for (const std::string& key : order_) {
    if (keys_.at(key).revoked == 0) {
      valid.push_back(key);
    } else {
      newest_revoked = key;
    }
  }
  if (!newest_revoked.empty() && random.Chance(kOldKeyPart)) return newest_revoked;
  if (valid.empty()) return newest_revoked;
  return valid[static_cast<std::size_t>(random.Between(0, static_cast<int>(valid.size()) - 1))];
}

void OperatorLog::WriteConfig() {
  std::map<std::string, std::vector<std::string>> keys;
  for (const auto& [key, record] : keys_) {
    if (record.revoked == 0) keys[record.workspace].push_back(key);
  }
  Json workspaces = Json::array();
  for (const auto& [name, list] : keys) {
    workspaces.push_back({{"name", name}, {"api_keys", list}, {"priority", 1}});
    if (isolated_.contains(name)) workspaces.back()["isolated"] = true;
  }
  Json routes = {Route("safe", "safe", false), Route("unsafe", "unsafe", false),
                 Route("stream", "stream", false), Route("resume", "stream", true)};
  for (int i = 0; i < added_routes_; ++i) {
    routes.push_back(Route(("added" + std::to_string(i)).c_str(), "unsafe", false));
  }
  const Json config = {{"version", version_},
                       {"routes", std::move(routes)},
                       {"services", {Service()}},
                       {"limits",
                        {{"max_header_bytes", 16'384},
                         {"max_body_bytes", max_body_},
                         {"header_timeout_ms", 1'000},
                         {"idle_timeout_ms", idle_limit_.count()}}},
                       {"tenants", workspaces}};
  table_.Put(platform::key::kConfig, config.dump());
  idle_limits_.Add(idle_limit_, Clock::now());
}

}  // namespace ridgehold::soak
