#include "platform.h"

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/base64.h"
#include "http/request.h"
#include "http/responder.h"
#include "http/server.h"
#include "kv_table.h"

namespace ridgehold::standin {
namespace {

using nlohmann::json;

const Headers kJson = {{"Content-Type", "application/json"}};

std::string Decoded(const json& object, const char* name) {
  return Base64Decode(object.value(name, "")).value_or("");
}

std::int64_t Number(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) return 0;
  return found->is_number() ? found->get<std::int64_t>() : std::stoll(found->get<std::string>());
}

json ToJson(const std::vector<KvPair>& pairs) {
  json kvs = json::array();
  for (const KvPair& pair : pairs) {
    kvs.push_back({{"key", Base64Encode(pair.key)},
                   {"value", Base64Encode(pair.value)},
                   {"mod_revision", std::to_string(pair.mod_revision)}});
  }
  return {{"kvs", kvs}, {"count", std::to_string(pairs.size())}};
}

KvTransaction ToTransaction(const json& body) {
  KvTransaction transaction;
  for (const json& compare : body.value("compare", json::array())) {
    const bool absent = compare.value("target", "") == "CREATE";
    transaction.compares.push_back(
        {Decoded(compare, "key"),
         absent ? std::nullopt : std::optional(Decoded(compare, "value"))});
  }
  for (const json& operation : body.value("success", json::array())) {
    if (operation.contains("requestPut")) {
      const json& put = operation["requestPut"];
      const auto lease = Number(put, "lease");
      transaction.puts.push_back({Decoded(put, "key"), Decoded(put, "value"),
                                  lease != 0 ? std::optional(LeaseId(lease)) : std::nullopt});
    } else {
      transaction.deletes.push_back(Decoded(operation.at("requestDeleteRange"), "key"));
    }
  }
  for (const json& operation : body.value("failure", json::array())) {
    transaction.reads_on_failure.push_back(Decoded(operation.at("requestRange"), "key"));
  }
  return transaction;
}

}  // namespace

struct Platform::Impl {
  struct Watch {
    std::string key;
    Responder responder;
  };

  std::mutex mutex;
  KvTable table;
  KvTable copy;
  PlatformFaults faults;
  std::vector<Watch> watches;
  json instances = json::array();
  std::atomic<std::uint64_t> calls{0};
  std::unique_ptr<HttpServer> server;

  void Serve(const HttpRequest& request, const Responder& responder) {
    if (request.path.starts_with("/standin/")) return Control(request, responder);
    ++calls;
    PlatformFaults now_faults;
    {
      const std::lock_guard lock(mutex);
      now_faults = faults;
    }
    if (now_faults.delay_ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(now_faults.delay_ms));
    }
    if (now_faults.down) return responder.Send(503, kJson, "{}");
    try {
      if (request.path == "/v3/watch") return StartWatch(json::parse(request.body), responder);
      if (request.path == "/instances") return responder.Send(200, kJson, ListInstances());
      const bool writes = request.path != "/v3/kv/range";
      const std::string answer = Answer(request.path, json::parse(request.body));
      if (writes && now_faults.lose_answers) return responder.Send(503, kJson, "{}");
      responder.Send(200, kJson, answer);
    } catch (const std::exception& error) {
      responder.Send(400, kJson, json{{"error", error.what()}}.dump());
    }
  }

  std::string Answer(const std::string& path, const json& body) {
    const std::lock_guard lock(mutex);
    const TimePoint now = Clock::now();
    if (path == "/v3/kv/range") return Range(body, now).dump();
    if (path == "/v3/kv/txn") return Transact(body, now).dump();
    if (path == "/v3/lease/grant") {
      const auto lease = table.Grant(std::chrono::seconds(Number(body, "TTL")), now);
      return json{{"ID", std::to_string(lease.value())}}.dump();
    }
    if (path == "/v3/lease/keepalive") {
      const bool alive = table.KeepAlive(LeaseId(Number(body, "ID")), now);
      return json{{"result", {{"TTL", alive ? "1" : "0"}}}}.dump();
    }
    throw std::invalid_argument("no such call");
  }

  json Range(const json& body, TimePoint now) {
    const std::string key = Decoded(body, "key");
    if (body.contains("range_end")) {
      return ToJson(table.List(key, Decoded(body, "range_end"), now));
    }
    const auto pair = table.Get(key, now);
    return ToJson(pair ? std::vector<KvPair>{*pair} : std::vector<KvPair>{});
  }

  json Transact(const json& body, TimePoint now) {
    const KvTransaction transaction = ToTransaction(body);
    const KvTransactionAnswer answer = table.Commit(transaction, now);
    json responses = json::array();
    for (const KvPair& pair : answer.reads) {
      responses.push_back({{"response_range", ToJson({pair})}});
    }
    if (answer.succeeded) Notify(transaction);
    return {{"succeeded", answer.succeeded}, {"responses", responses}};
  }

  void Notify(const KvTransaction& transaction) {
    const std::string event = json{{"result", {{"events", 1}}}}.dump() + "\n";
    for (const KvPut& put : transaction.puts) {
      for (const Watch& watch : watches) {
        if (watch.key == put.key) watch.responder.Write(event, [](bool) {});
      }
    }
  }

  void StartWatch(const json& body, const Responder& responder) {
    const std::lock_guard lock(mutex);
    responder.Begin(200, kJson);
    responder.Write("{\"result\":{\"created\":true}}\n", [](bool) {});
    watches.push_back({Decoded(body.at("create_request"), "key"), responder});
  }

  std::string ListInstances() {
    const std::lock_guard lock(mutex);
    return instances.dump();
  }

  void Control(const HttpRequest& request, const Responder& responder) {
    const std::lock_guard lock(mutex);
    if (request.path == "/standin/calls") {
      return responder.Send(200, kJson, json{{"calls", calls.load()}}.dump());
    }
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) return responder.Send(400, kJson, "{}");
    if (request.path == "/standin/instances") {
      instances = body;
    } else if (request.path == "/standin/faults") {
      faults = {body.value("down", false), body.value("lose_answers", false),
                body.value("delay_ms", 0)};
      if (faults.down) EndWatches();
    }
    responder.Send(200, kJson, "{}");
  }

  void EndWatches() {
    for (const Watch& watch : watches) watch.responder.End();
    watches.clear();
  }
};

Platform::Platform(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Platform::~Platform() { impl_->server.reset(); }

Result<std::unique_ptr<Platform>> Platform::Create(const std::string& address, std::uint16_t port) {
  auto impl = std::make_unique<Impl>();
  HttpServerOptions options;
  options.address = address;
  options.port = port;
  options.threads = 4;
  BOOST_LEAF_ASSIGN(
      impl->server,
      HttpServer::Create(options, [raw = impl.get()](HttpRequest request, Responder responder) {
        raw->Serve(request, responder);
      }));
  return std::unique_ptr<Platform>(new Platform(std::move(impl)));
}

std::uint16_t Platform::port() const { return impl_->server->port(); }

std::string Platform::url() const { return "http://127.0.0.1:" + std::to_string(port()); }

void Platform::SetFaults(const PlatformFaults& faults) {
  const std::lock_guard lock(impl_->mutex);
  impl_->faults = faults;
  if (faults.down) impl_->EndWatches();
}

void Platform::SaveCopy() {
  const std::lock_guard lock(impl_->mutex);
  impl_->copy = impl_->table;
}

void Platform::RestoreCopy() {
  const std::lock_guard lock(impl_->mutex);
  impl_->table = impl_->copy;
}

std::uint64_t Platform::calls() const { return impl_->calls.load(); }

}  // namespace ridgehold::standin
