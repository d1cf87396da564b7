// The settings in a daemon's INI file.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace ridgehold {

/// All settings with their defaults. The files in examples/ (*.ini) document each key.
struct Settings {
  // [daemon]
  DaemonId daemon;  ///< `id`
  ZoneId zone;      ///< `zone`
  std::uint32_t worker_threads = 2;

  // [caller]
  std::string caller_address = "127.0.0.1";
  std::uint16_t caller_port = 8080;
  std::uint64_t max_body_bytes = std::uint64_t{16} << 20;
  std::uint64_t max_header_bytes = std::uint64_t{16} << 10;
  std::uint32_t max_connections = 4096;
  std::chrono::milliseconds write_timeout{30'000};

  // [operator]
  std::string operator_address = "127.0.0.1";
  std::uint16_t operator_port = 8081;
  std::string operator_key_sha256;  ///< empty: no key is required

  // [platform]
  std::string platform_url;
  std::chrono::milliseconds platform_timeout{1'000};
  std::chrono::milliseconds platform_poll{10'000};

  // [peers]
  std::string peer_address = "127.0.0.1";
  std::uint16_t peer_port = 8082;
  std::vector<std::string> peer_seeds;  ///< `address:port`
  std::string peer_public_key;          ///< Z85; empty: connections are not encrypted
  std::string peer_secret_key;
  std::string peer_previous_public_key;  ///< still accepted during key rotation
  std::chrono::milliseconds heartbeat{1'000};

  // [limits]
  std::uint32_t max_in_flight = 512;
  std::chrono::milliseconds first_token_deadline{2'000};
  std::chrono::seconds stall_timeout{20};
  std::chrono::milliseconds service_timeout{30'000};
  std::uint64_t stream_buffer_bytes = std::uint64_t{256} << 10;
  std::uint32_t max_tries = 3;
  std::uint32_t retry_budget_percent = 10;

  // [cache]
  std::uint64_t cache_index_bytes = std::uint64_t{48} << 20;  ///< `picture`
  std::chrono::milliseconds event_poll{200};
  std::chrono::milliseconds load_poll{200};

  // [shutdown]
  std::chrono::milliseconds lame_duck{3'000};
  std::chrono::milliseconds shutdown_limit{60'000};

  // [log]
  std::string log_level = "info";
  std::string log_layout = "json";
};

/// Parses settings from INI text. On error returns one kInvalidSettings failure whose detail
/// lists all errors, one per line, as `file:line: message`.
Result<Settings> ParseSettings(std::string_view text, const std::string& file);

/// Loads settings from the file at `path`. Errors are as for `ParseSettings`.
Result<Settings> LoadSettings(const std::string& path);

}  // namespace ridgehold
