#include "settings/settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

#include "settings/ini_document.h"
#include "settings/units.h"

namespace ridgehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZ85KeyLength = 40;
constexpr std::size_t kSha256HexLength = 64;

/// Reads entries into settings fields and collects all errors.
class Reader {
 public:
  Reader(const IniDocument& document, std::string file)
      : document_(document), file_(std::move(file)), used_(document.entries.size(), false) {}

  void Text(const char* section, const char* key, std::string& field) {
    if (const IniEntry* entry = FindAndMarkUsed(section, key)) field = entry->value;
  }

  template <class Tag>
  void RequiredId(const char* section, const char* key, Strong<Tag, std::string>& field) {
    std::string text;
    Text(section, key, text);
    if (text.empty()) {
      AddError(0, std::string("[") + section + "] " + key + " is missing");
      return;
    }
    if (text.find_first_of(" \t\"'") != std::string::npos) {
      AddError(LineOf(section, key), std::string(key) + " contains whitespace or a quotation mark");
    }
    field = Strong<Tag, std::string>(text);
  }

  template <class Number>
  void Count(const char* section, const char* key, Number& field, std::uint64_t min,
             std::uint64_t max) {
    const IniEntry* entry = FindAndMarkUsed(section, key);
    if (entry == nullptr) return;
    const auto value = ParseCount(entry->value);
    if (!value)
      return AddError(entry->line, KeyValueText(*entry) + " is not a non-negative integer");
    if (*value < min || *value > max) return AddRangeError(*entry, min, max, "");
    field = static_cast<Number>(*value);
  }

  void Bytes(const char* section, const char* key, std::uint64_t& field, std::uint64_t min,
             std::uint64_t max) {
    const IniEntry* entry = FindAndMarkUsed(section, key);
    if (entry == nullptr) return;
    const auto value = ParseBytes(entry->value);
    if (!value) return AddError(entry->line, KeyValueText(*entry) + " is not a size such as 64MiB");
    if (*value < min || *value > max) return AddRangeError(*entry, min, max, "B");
    field = *value;
  }

  template <class Time>
  void Period(const char* section, const char* key, Time& field, milliseconds min,
              milliseconds max) {
    const IniEntry* entry = FindAndMarkUsed(section, key);
    if (entry == nullptr) return;
    const auto value = ParseDuration(entry->value);
    if (!value)
      return AddError(entry->line, KeyValueText(*entry) + " is not a duration such as 250ms");
    if (*value < min || *value > max) {
      return AddRangeError(*entry, static_cast<std::uint64_t>(min.count()),
                           static_cast<std::uint64_t>(max.count()), "ms");
    }
    field = std::chrono::duration_cast<Time>(*value);
  }

  void List(const char* section, const char* key, std::vector<std::string>& field) {
    const IniEntry* entry = FindAndMarkUsed(section, key);
    if (entry == nullptr) return;
    std::istringstream words(entry->value);
    field.assign(std::istream_iterator<std::string>(words), {});
  }

  void Choice(const char* section, const char* key, std::string& field,
              std::initializer_list<std::string_view> choices) {
    const IniEntry* entry = FindAndMarkUsed(section, key);
    if (entry == nullptr) return;
    if (std::ranges::find(choices, entry->value) == choices.end()) {
      return AddError(entry->line, KeyValueText(*entry) + " is not an allowed value");
    }
    field = entry->value;
  }

  /// Adds an error about a value that was read before, unless `condition` holds.
  void Require(bool condition, const char* section, const char* key, const std::string& error) {
    if (!condition) AddError(LineOf(section, key), std::string(key) + " " + error);
  }

  void CheckUnusedEntries() {
    for (std::size_t i = 0; i < used_.size(); ++i) {
      const IniEntry& entry = document_.entries[i];
      if (!used_[i]) AddError(entry.line, "[" + entry.section + "] has no key " + entry.key);
    }
    if (document_.first_bad_line != 0) {
      AddError(document_.first_bad_line, "is not a valid `key = value` line");
    }
  }

  std::string Errors() const {
    std::string all;
    for (const Error& error : errors_) {
      all += file_ + ":" + std::to_string(error.line) + ": " + error.text + "\n";
    }
    return all;
  }

 private:
  struct Error {
    int line;
    std::string text;
  };

  const IniEntry* FindAndMarkUsed(std::string_view section, std::string_view key) {
    const IniEntry* found = nullptr;
    for (std::size_t i = 0; i < used_.size(); ++i) {
      const IniEntry& entry = document_.entries[i];
      if (entry.section != section || entry.key != key) continue;
      used_[i] = true;
      if (found != nullptr) AddError(entry.line, entry.key + " is set twice");
      found = &entry;
    }
    return found;
  }

  int LineOf(std::string_view section, std::string_view key) const {
    for (const IniEntry& entry : document_.entries) {
      if (entry.section == section && entry.key == key) return entry.line;
    }
    return 0;
  }

  static std::string KeyValueText(const IniEntry& entry) { return entry.key + " = " + entry.value; }

  void AddError(int line, std::string text) { errors_.push_back({line, std::move(text)}); }

  void AddRangeError(const IniEntry& entry, std::uint64_t min, std::uint64_t max,
                     const std::string& unit) {
    AddError(entry.line, KeyValueText(entry) + " is not between " + std::to_string(min) + unit +
                             " and " + std::to_string(max) + unit);
  }

  const IniDocument& document_;
  std::string file_;
  std::vector<bool> used_;
  std::vector<Error> errors_;
};

void ReadListeners(Reader& reader, Settings& s) {
  constexpr std::uint64_t kMaxPort = 65'535;
  reader.Text("caller", "address", s.caller_address);
  reader.Count("caller", "port", s.caller_port, 0, kMaxPort);
  reader.Bytes("caller", "max_body", s.max_body_bytes, 1 << 10, std::uint64_t{1} << 30);
  reader.Bytes("caller", "max_header", s.max_header_bytes, 1 << 10, 1 << 20);
  reader.Count("caller", "max_connections", s.max_connections, 1, 1'000'000);
  reader.Period("caller", "write_timeout", s.write_timeout, milliseconds(100), seconds(600));
  reader.Text("operator", "address", s.operator_address);
  reader.Count("operator", "port", s.operator_port, 0, kMaxPort);
  reader.Text("operator", "key_sha256", s.operator_key_sha256);
  reader.Require(s.operator_key_sha256.empty() || s.operator_key_sha256.size() == kSha256HexLength,
                 "operator", "key_sha256", "is not 64 hexadecimal digits");
  reader.Require(s.operator_port == 0 || s.operator_port != s.caller_port ||
                     s.operator_address != s.caller_address,
                 "operator", "port", "is also the caller listener's port");
}

void ReadPeers(Reader& reader, Settings& s) {
  reader.Text("peers", "address", s.peer_address);
  reader.Count("peers", "port", s.peer_port, 0, 65'535);
  reader.List("peers", "seeds", s.peer_seeds);
  reader.Text("peers", "public_key", s.peer_public_key);
  reader.Text("peers", "secret_key", s.peer_secret_key);
  reader.Text("peers", "previous_public_key", s.peer_previous_public_key);
  reader.Period("peers", "heartbeat", s.heartbeat, milliseconds(20), seconds(10));
  reader.Require(s.peer_public_key.empty() == s.peer_secret_key.empty(), "peers", "public_key",
                 "and secret_key must be set together");
  reader.Require(s.peer_public_key.empty() || s.peer_public_key.size() == kZ85KeyLength, "peers",
                 "public_key", "is not 40 characters of Z85");
  reader.Require(s.peer_secret_key.empty() || s.peer_secret_key.size() == kZ85KeyLength, "peers",
                 "secret_key", "is not 40 characters of Z85");
}

void ReadLimits(Reader& reader, Settings& s) {
  reader.Count("limits", "max_in_flight", s.max_in_flight, 1, 1'000'000);
  reader.Period("limits", "first_token_deadline", s.first_token_deadline, milliseconds(10),
                seconds(600));
  reader.Period("limits", "stall_timeout", s.stall_timeout, seconds(1), seconds(600));
  reader.Period("limits", "service_timeout", s.service_timeout, milliseconds(10), seconds(600));
  reader.Bytes("limits", "stream_buffer", s.stream_buffer_bytes, 4 << 10, 64 << 20);
  reader.Count("limits", "max_tries", s.max_tries, 1, 10);
  reader.Count("limits", "retry_budget_percent", s.retry_budget_percent, 0, 100);
  reader.Bytes("cache", "picture", s.cache_index_bytes, 1 << 20, std::uint64_t{4} << 30);
  reader.Period("cache", "event_poll", s.event_poll, milliseconds(0), seconds(60));
  reader.Period("cache", "load_poll", s.load_poll, milliseconds(0), seconds(60));
  reader.Period("shutdown", "lame_duck", s.lame_duck, milliseconds(0), seconds(300));
  reader.Period("shutdown", "limit", s.shutdown_limit, seconds(1), seconds(3600));
}

}  // namespace

Result<Settings> ParseSettings(std::string_view text, const std::string& file) {
  const IniDocument document = IniDocument::Parse(text);
  Reader reader(document, file);
  Settings s;
  reader.RequiredId("daemon", "id", s.daemon);
  reader.RequiredId("daemon", "zone", s.zone);
  reader.Count("daemon", "worker_threads", s.worker_threads, 1, 64);
  ReadListeners(reader, s);
  reader.Text("platform", "url", s.platform_url);
  reader.Require(s.platform_url.starts_with("http"), "platform", "url", "is not an http URL");
  reader.Period("platform", "timeout", s.platform_timeout, milliseconds(10), seconds(60));
  reader.Period("platform", "poll", s.platform_poll, milliseconds(100), seconds(600));
  ReadPeers(reader, s);
  ReadLimits(reader, s);
  reader.Choice("log", "level", s.log_level, {"debug", "info", "warn", "error"});
  reader.Choice("log", "layout", s.log_layout, {"json", "plain"});
  reader.CheckUnusedEntries();
  std::string errors = reader.Errors();
  if (!errors.empty()) return Fail(ResultCode::kInvalidSettings, std::move(errors));
  return s;
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Fail(ResultCode::kInvalidSettings, path + ": cannot be opened\n");
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), path);
}

}  // namespace ridgehold
