// Daemons, engines, a plain service and the platform inside one test process.

#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/daemon.h"
#include "engine.h"
#include "http/client.h"
#include "plain_service.h"
#include "platform.h"

namespace ridgehold::test {

struct ClusterOptions {
  int engines = 2;
  int daemons = 1;
  std::vector<std::string> zones = {"a"};  ///< daemons and engines take turns
  standin::EngineOptions engine;
  std::chrono::milliseconds service_delay{0};
  std::function<void(Settings&)> adjust;  ///< last word on a daemon's settings
  bool configure = true;
};

/// Two workspaces, `one` and `two`, whose keys are `key-one` and `key-two`; a
/// model `m`; engines e0, e1, ...; a service under /app that may not repeat
/// calls, and the same under /again that may.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);

  standin::Platform& platform() { return *platform_; }
  standin::PlainService& service() { return *service_; }
  standin::Engine& engine(int i) { return *engines_[static_cast<std::size_t>(i)]; }
  Daemon& daemon(int i) { return *daemons_[static_cast<std::size_t>(i)]; }
  HttpClient& client() { return *client_; }

  /// Starts daemon `i` (again); returns when it is ready.
  void StartDaemon(int i);
  /// Starts it without waiting.
  void LaunchDaemon(int i);
  /// Ends it at once, as a crash would.
  void KillDaemon(int i) { daemons_[static_cast<std::size_t>(i)].reset(); }
  /// Ends an engine's process; its address refuses connections.
  void KillEngine(int i) { engines_[static_cast<std::size_t>(i)].reset(); }

  /// Sends a request to daemon `i` as a caller of workspace `one`.
  HttpAnswer Call(int i, const std::string& method, const std::string& path,
                  const std::string& body, Headers headers = {});
  HttpAnswer Chat(int i, const std::string& prompt, bool stream, int max_tokens = 8,
                  const std::string& key = "key-one");
  /// Runs a script of the operator language on daemon `i`.
  HttpAnswer Command(int i, const std::string& script);

  /// What daemon `i` says under `name` in its dump, as text.
  std::string Dumped(int i, const std::string& name);
  /// A counter of daemon `i`, 0 when it was never counted.
  double Metric(int i, const std::string& name);

 private:
  Settings SettingsOf(int i) const;

  ClusterOptions options_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<standin::Platform> platform_;
  std::unique_ptr<standin::PlainService> service_;
  std::vector<std::unique_ptr<standin::Engine>> engines_;
  std::vector<std::string> peer_addresses_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

/// Waits until `holds` does, at most `limit`; returns whether it did.
bool Eventually(const std::function<bool()>& holds,
                std::chrono::milliseconds limit = std::chrono::seconds(10));

/// The data of all events of a streamed answer.
std::vector<std::string> EventsOf(const std::string& body);

/// The text of a streamed or whole chat answer.
std::string TextOf(const HttpAnswer& answer);

/// The text that every engine answers to a chat with this one user message.
std::string ExpectedText(const std::string& prompt, int tokens);

/// The numbered code of an error answer, 0 for others.
int CodeOf(const HttpAnswer& answer);

}  // namespace ridgehold::test
