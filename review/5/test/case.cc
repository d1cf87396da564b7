// A client sends one request whose body contains the text of another one. Its Transfer-Encoding
// does not end with `chunked`, so the length of its body cannot be told. The gateway has to refuse
// it; whatever follows its head must not run.

#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <vector>

#include "../../rig/test/rig.h"

namespace {

using rig::Connection;
using rig::Message;

struct Variant {
  std::string coding;
  std::string outer;   ///< id of the request that the client sends
  std::string hidden;  ///< id within its body, which no client sends
};

std::string HiddenRequest(const std::string& id) {
  return "POST /orders/hidden HTTP/1.1\r\nHost: " + std::string(rig::kHost) +
         "\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 0\r\n\r\n";
}

std::string InChunks(const std::string& body) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx", body.size());
  return std::string(size) + "\r\n" + body + "\r\n0\r\n\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return rig::kCouldNotRun;
  const std::string folder = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  const bool disturbed = trouble == nullptr || std::string(trouble) != "0";
  rig::Record record(argv[1]);
  rig::Store store(rig::OwnHost(1), record);

  std::mutex mutex;
  std::vector<std::string> run;
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
        run.push_back(id);
      }
      record.Line("server runs " + id + ": " + request.start + ", tenant " +
                  request.Field("X-Tenant") + ", body of " + std::to_string(request.body.size()) +
                  " bytes");
      if (!connection.Write(
              rig::Response(200, {{"X-Request-Id", id}, {"X-Signature", "signed"}}, "done"))) {
        break;
      }
    }
  });
  store.Put("op/config",
            rig::Config(1, {{"/orders/", "unsafe", rig::kPlain}}, {{"t1", {"key-of-t1"}, false}}));
  store.Put("servers/i-1", rig::PlainEntry(server.address()));
  rig::Instance instance("edge-1", rig::OwnHost(3), "a", store.address(), folder);
  if (!instance.Start() || !instance.WaitReady(15'000)) return rig::kCouldNotRun;

  const std::vector<Variant> variants = {{"gzip", "outer-1", "hidden-1"},
                                         {"identity", "outer-2", "hidden-2"},
                                         {"chunked, identity", "outer-3", "hidden-3"}};
  for (const Variant& variant : variants) {
    const std::string hidden = HiddenRequest(variant.hidden);
    const std::string coding = disturbed ? variant.coding : "chunked";
    const std::string request =
        "POST /orders/x HTTP/1.1\r\nHost: " + std::string(rig::kHost) +
        "\r\nX-Request-Id: " + variant.outer +
        "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer key-of-t1\r\nTransfer-Encoding: " +
        coding + "\r\n\r\n" + (disturbed ? hidden : InChunks(hidden));
    const auto client = Connection::Open(instance.front());
    if (!client || !client->Write(request)) return rig::kCouldNotRun;
    record.Line("client sends " + variant.outer + ", Transfer-Encoding: " + coding +
                ", its body holds the text of " + variant.hidden);
    Message answer;
    while (client->Read(answer, 1'000)) {
      record.Line("client gets " + answer.Second() + " for " + answer.Field("X-Request-Id"));
    }
  }
  if (instance.Ended()) return rig::kCouldNotRun;
  const std::lock_guard lock(mutex);
  int smuggled = 0;
  int served = 0;
  for (const std::string& id : run) (id.starts_with("hidden") ? smuggled : served) += 1;
  record.Line("requests that were run: " + std::to_string(served) + " of the client's, " +
              std::to_string(smuggled) + " that no client sent");
  if (!disturbed && served != static_cast<int>(variants.size())) return rig::kCouldNotRun;
  return smuggled > 0 ? rig::kBroken : rig::kHeld;
}
