// The operator's configuration makes a tenant `isolated` while all goes well. From then on no
// request of another tenant may use KV cache that a request of this tenant made.

#include <cstdlib>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "../../rig/test/rig.h"

namespace {

using rig::Connection;
using rig::Message;

/// Finds cached parts only under the same text of X-Cache-Salt, each after those before it.
class Engine {
 public:
  explicit Engine(rig::Record& record) : record_(record) {}

  void Serve(Connection& connection) {
    Message request;
    while (connection.Read(request, 60'000)) {
      const std::string id = request.Field("X-Request-Id");
      if (id.empty()) {
        connection.Write(
            rig::Response(200, {{"Content-Type", "application/json"}}, rig::EngineReport(1, 0, 0)));
        continue;
      }
      Run(id, request);
      const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
      if (!connection.Write(rig::Response(200,
                                          {{"X-Request-Id", id},
                                           {"X-Signature", "signed"},
                                           {"X-Weight-Versions", "1"},
                                           {"Content-Type", "text/event-stream"}},
                                          events))) {
        break;
      }
    }
  }

  /// Requests of `user` that used what `maker` had made.
  int Uses(const std::string& user, const std::string& maker) {
    const std::lock_guard lock(mutex_);
    return uses_[{user, maker}];
  }

 private:
  void Run(const std::string& id, const Message& request) {
    const std::lock_guard lock(mutex_);
    const std::string salt = request.Field("X-Cache-Salt");
    const std::string tenant = request.Field("X-Tenant");
    record_.Line("engine runs " + id + " of tenant " + tenant + ", X-Cache-Salt: " + salt);
    std::istringstream parts(request.Field("X-Prefix-Hash"));
    bool found_all = true;
    for (std::string part; std::getline(parts, part, ',');) {
      const auto cached = cache_.find({salt, part});
      found_all = found_all && cached != cache_.end();
      if (!found_all) {
        cache_[{salt, part}] = tenant;
        continue;
      }
      if (cached->second == tenant) continue;
      ++uses_[{tenant, cached->second}];
      record_.Line("  it uses part " + part + ", made by a request of tenant " + cached->second);
    }
  }

  rig::Record& record_;
  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, std::string> cache_;  ///< makers, by salt and part
  std::map<std::pair<std::string, std::string>, int> uses_;           ///< by user and maker
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return rig::kCouldNotRun;
  const std::string folder = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  const bool disturbed = trouble == nullptr || std::string(trouble) != "0";
  rig::Record record(argv[1]);
  rig::Store store(rig::OwnHost(1), record);
  Engine engine(record);
  rig::Listener server(rig::OwnHost(2), 0, [&](Connection& c) { engine.Serve(c); });
  const auto configure = [&](int version, bool isolated) {
    store.Put("op/config",
              rig::Config(version, {{"/chat/", "stream", rig::kEngines}},
                          {{"t1", {"key-of-t1"}, isolated}, {"t2", {"key-of-t2"}, false}}));
    record.Line("operator: version " + std::to_string(version) + " is acknowledged; t1 is " +
                (isolated ? "isolated" : "not isolated"));
  };
  configure(1, false);
  store.Put("op/version/m", {{"model", "m"}, {"version", 1}});
  store.Put("servers/i-1", rig::EngineEntry(server.address(), 1));
  rig::Instance instance("edge-1", rig::OwnHost(3), "a", store.address(), folder);
  if (!instance.Start() || !instance.WaitReady(15'000)) return rig::kCouldNotRun;

  int sent = 0;
  int served = 0;
  const auto ask = [&](const std::string& tenant) {
    const std::string id = "q" + std::to_string(++sent);
    // The first part is shared, the last belongs to the request.
    const std::string request =
        "POST /chat/x HTTP/1.1\r\nHost: " + std::string(rig::kHost) + "\r\nX-Request-Id: " + id +
        "\r\nX-Model: m\r\nX-Token-Count: 900,10\r\nX-Prefix-Hash: 5c1e07a2:800,b" +
        std::to_string(sent) + ":100\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-of-" +
        tenant + "\r\nContent-Length: 2\r\n\r\nhi";
    const auto client = Connection::Open(instance.front());
    Message answer;
    const bool answered = client && client->Write(request) && client->Read(answer, 4'000);
    record.Line("client of " + tenant + " sent " + id + " and got " + answer.Second());
    if (answered && answer.Status() == 200) ++served;
  };
  // t1 makes the shared part.
  ask("t1");
  rig::SleepMs(300);
  configure(2, disturbed);
  // config_apply_ms is 2 s.
  rig::SleepMs(5'000);
  ask("t1");
  ask("t2");
  ask("t2");
  if (served != sent) return rig::kCouldNotRun;
  const int foreign = disturbed ? engine.Uses("t2", "t1") : 0;
  record.Line("requests of t2 that used KV cache of t1 while t1 was isolated: " +
              std::to_string(foreign));
  return foreign > 0 ? rig::kBroken : rig::kHeld;
}
