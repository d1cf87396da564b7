#include "cluster.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "base/random_id.h"
#include "log/log.h"
#include "sse/sse.h"

namespace ridgehold::test {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int kHttpOk = 200;

/// Test set-up has no use for a failure but to stop.
template <class Operation>
auto Must(Operation&& operation) {
  using Value = std::decay_t<decltype(operation().value())>;
  return ValueOr(std::forward<Operation>(operation),
                 [](const Failure& failure) -> Value { throw std::runtime_error(failure.detail); });
}

}  // namespace

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)) {
  StartLog("error", "plain");
  client_ = Must([] { return HttpClient::Create(); });
  platform_ = Must([] { return standin::Platform::Create("127.0.0.1", 0); });
  service_ =
      Must([&] { return standin::PlainService::Create("127.0.0.1", 0, options_.service_delay); });
  for (int i = 0; i < options_.engines; ++i) {
    engines_.push_back(Must([&] { return standin::Engine::Create(options_.engine); }));
  }
  daemons_.resize(static_cast<std::size_t>(options_.daemons));
  peer_addresses_.resize(daemons_.size());
  for (int i = 0; i < options_.daemons; ++i) LaunchDaemon(i);
  if (options_.configure) {
    std::string script =
        "create workspace one; create workspace two\n"
        "create key " +
        Sha256Hex("key-one") +
        " workspace one\n"
        "create key " +
        Sha256Hex("key-two") +
        " workspace two\n"
        "create model m weights w1\n"
        "create backend s0 url " +
        service_->url() +
        " zone a service app\n"
        "create rule app path /app service app repeatable no dedup platform\n"
        "create rule again path /again service app repeatable yes dedup none\n";
    for (int i = 0; i < options_.engines; ++i) {
      const std::string& zone = options_.zones[static_cast<std::size_t>(i) % options_.zones.size()];
      script += "create backend e" + std::to_string(i) + " url " + engine(i).url() + " zone " +
                zone + " engine m\n";
    }
    if (Command(0, script).status != kHttpOk) throw std::runtime_error("set-up was refused");
  }
  for (int i = 0; i < options_.daemons; ++i) {
    const bool ready = Eventually(
        [&] { return daemon(i).Ready() && (!options_.configure || Dumped(i, "revision") != "0"); });
    if (!ready) throw std::runtime_error("a daemon does not get ready");
  }
}

Settings Cluster::SettingsOf(int i) const {
  Settings settings;
  settings.daemon = DaemonId("d" + std::to_string(100 + i));
  settings.zone = ZoneId(options_.zones[static_cast<std::size_t>(i) % options_.zones.size()]);
  settings.caller_port = 0;
  settings.operator_port = 0;
  settings.peer_port = 0;
  settings.platform_url = platform_->url();
  settings.platform_timeout = 500ms;
  settings.platform_poll = 1s;
  settings.heartbeat = 100ms;
  settings.event_poll = 50ms;
  settings.stall_timeout = 1s;
  settings.lame_duck = 100ms;
  for (const std::string& address : peer_addresses_) {
    if (!address.empty()) settings.peer_seeds.push_back(address);
  }
  if (options_.adjust) options_.adjust(settings);
  return settings;
}

void Cluster::LaunchDaemon(int i) {
  const auto at = static_cast<std::size_t>(i);
  daemons_[at] = Must([&] { return Daemon::Create(SettingsOf(i)); });
  peer_addresses_[at] = daemons_[at]->peer_address();
}

void Cluster::StartDaemon(int i) {
  LaunchDaemon(i);
  if (!Eventually([&] { return daemon(i).Ready(); })) {
    throw std::runtime_error("a daemon does not get ready");
  }
}

HttpAnswer Cluster::Call(int i, const std::string& method, const std::string& path,
                         const std::string& body, Headers headers) {
  HttpCall call;
  call.method = method;
  call.url = daemon(i).caller_url() + path;
  call.headers = std::move(headers);
  if (!call.headers.Find("Authorization")) call.headers.Add("Authorization", "Bearer key-one");
  call.body = body;
  call.total_timeout = 30s;
  return ValueOr([&] { return client_->Fetch(std::move(call)); },
                 [](const Failure& failure) {
                   return HttpAnswer{0, {}, failure.detail};
                 });
}

HttpAnswer Cluster::Chat(int i, const std::string& prompt, bool stream, int max_tokens,
                         const std::string& key) {
  const json body = {{"model", "m"},
                     {"stream", stream},
                     {"max_tokens", max_tokens},
                     {"messages", {{{"role", "user"}, {"content", prompt}}}}};
  return Call(i, "POST", "/v1/chat/completions", body.dump(), {{"Authorization", "Bearer " + key}});
}

HttpAnswer Cluster::Command(int i, const std::string& script) {
  HttpCall call;
  call.method = "POST";
  call.url = daemon(i).operator_url() + "/v1/command";
  call.body = script;
  call.total_timeout = 30s;
  return ValueOr([&] { return client_->Fetch(std::move(call)); },
                 [](const Failure& failure) {
                   return HttpAnswer{0, {}, failure.detail};
                 });
}

std::string Cluster::Dumped(int i, const std::string& name) {
  const json dump = json::parse(daemon(i).Dump());
  const json& value = dump.at(name);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

double Cluster::Metric(int i, const std::string& name) {
  const HttpAnswer answer = Call(i, "GET", "/metrics", "");
  std::istringstream lines(answer.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) return std::stod(line.substr(name.size() + 1));
  }
  return 0;
}

bool Eventually(const std::function<bool()>& holds, std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

std::vector<std::string> EventsOf(const std::string& body) {
  SseReader reader;
  reader.Append(body);
  std::vector<std::string> events;
  while (auto event = reader.Next()) events.push_back(event->data);
  return events;
}

std::string TextOf(const HttpAnswer& answer) {
  const json whole = json::parse(answer.body, nullptr, false);
  if (whole.is_object() && whole.contains("choices")) {
    return whole["choices"][0]["message"]["content"];
  }
  std::string text;
  for (const std::string& data : EventsOf(answer.body)) {
    const json chunk = json::parse(data, nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices")) continue;
    text += chunk["choices"][0]["delta"].value("content", "");
  }
  return text;
}

std::string ExpectedText(const std::string& prompt, int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i) {
    text += standin::AnswerToken("user\n" + prompt + "\n", static_cast<std::size_t>(i));
  }
  return text;
}

int CodeOf(const HttpAnswer& answer) {
  const std::string code = answer.headers.Get("X-Ridgehold-Code");
  return code.empty() ? 0 : std::stoi(code);
}

}  // namespace ridgehold::test
