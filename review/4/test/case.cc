// The operator removes the only tenant of a deployment, and its key with it. Later than `revoke_ms`
// after that no request with this key may run, and never one with a key that nobody ever held.

#include <cstdlib>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "../../rig/test/rig.h"

namespace {

using rig::Connection;
using rig::Message;

constexpr int kRevokeMs = 5'000;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return rig::kCouldNotRun;
  const std::string folder = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  const bool disturbed = trouble == nullptr || std::string(trouble) != "0";
  rig::Record record(argv[1]);
  rig::Store store(rig::OwnHost(1), record);

  std::mutex mutex;
  std::set<std::string> run;
  rig::Listener server(rig::OwnHost(2), 0, [&](Connection& connection) {
    Message request;
    while (connection.Read(request, 60'000)) {
      const std::string id = request.Field("X-Request-Id");
      if (id.empty()) {
        connection.Write(rig::Response(404, {}, ""));
        continue;
      }
      {
        const std::lock_guard lock(mutex);
        run.insert(id);
      }
      record.Line("server runs " + id + ", X-Tenant: '" + request.Field("X-Tenant") + "'");
      if (!connection.Write(
              rig::Response(200, {{"X-Request-Id", id}, {"X-Signature", "signed"}}, "done"))) {
        break;
      }
    }
  });
  const std::vector<rig::Route> routes = {{"/orders/", "unsafe", rig::kPlain}};
  const rig::Tenant tenant = {"t1", {"key-of-t1"}, false};
  store.Put("op/config", rig::Config(1, routes, {tenant}));
  store.Put("servers/i-1", rig::PlainEntry(server.address()));
  rig::Instance instance("edge-1", rig::OwnHost(3), "a", store.address(), folder);
  if (!instance.Start() || !instance.WaitReady(15'000)) return rig::kCouldNotRun;

  const auto ask = [&](const std::string& id, const std::string& key) {
    const auto client = Connection::Open(instance.front());
    Message answer;
    if (client) {
      client->Write("POST /orders/x HTTP/1.1\r\nHost: " + std::string(rig::kHost) +
                    "\r\nX-Request-Id: " + id +
                    "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key +
                    "\r\nContent-Length: 0\r\n\r\n");
      client->Read(answer, 3'000);
    }
    record.Line("client sent " + id + " with " + key + " and got " + answer.Second());
    const std::lock_guard lock(mutex);
    return run.contains(id);
  };
  const bool served = ask("before", "key-of-t1");
  const bool guessed = ask("before-guess", "key-of-nobody");
  store.Put("op/config",
            rig::Config(2, routes,
                        disturbed ? std::vector<rig::Tenant>{} : std::vector<rig::Tenant>{tenant}));
  record.Line(disturbed ? "operator: version 2, without the tenant, is acknowledged"
                        : "operator: version 2, with the tenant, is acknowledged");
  rig::SleepMs(kRevokeMs + 2'000);
  const bool ran_after = ask("after", "key-of-t1");
  const bool ran_guess = ask("after-guess", "key-of-nobody");
  if (!served || (!disturbed && !ran_after)) return rig::kCouldNotRun;
  const bool revoked_ran = disturbed && ran_after;
  record.Line(std::string("a request with a key that was taken away has run: ") +
              (revoked_ran ? "yes" : "no"));
  record.Line(std::string("a request with a key that no configuration held has run: ") +
              (guessed || ran_guess ? "yes" : "no"));
  return revoked_ran || guessed || ran_guess ? rig::kBroken : rig::kHeld;
}
