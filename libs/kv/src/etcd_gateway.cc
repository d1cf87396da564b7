#include "kv/etcd_gateway.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"
#include "http/client.h"
#include "metrics/metrics.h"

namespace ridgehold {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

/// The gateway writes 64-bit numbers as strings; accept both.
std::int64_t ToInt64(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) return 0;
  if (found->is_number()) return found->get<std::int64_t>();
  return std::stoll(found->get<std::string>());
}

KvPair ToPair(const json& kv) {
  const auto key = Base64Decode(kv.at("key").get<std::string>());
  const auto value = Base64Decode(kv.value("value", ""));
  if (!key || !value) throw std::invalid_argument("not base64");
  return {*key, *value, ToInt64(kv, "mod_revision")};
}

std::vector<KvPair> ToPairs(const json& range) {
  std::vector<KvPair> pairs;
  for (const json& kv : range.value("kvs", json::array())) pairs.push_back(ToPair(kv));
  return pairs;
}

/// Reads an answer; any exception becomes kPlatformMalformed.
template <class Read>
auto ReadAnswer(const std::string& text, Read&& read) -> Result<decltype(read(json()))> {
  try {
    return read(json::parse(text));
  } catch (const std::exception& error) {
    return Fail(ResultCode::kPlatformMalformed, error.what());
  }
}

json ToJson(const KvCompare& compare) {
  json out = {{"key", Base64Encode(compare.key)}, {"result", "EQUAL"}};
  if (compare.value) {
    out["target"] = "VALUE";
    out["value"] = Base64Encode(*compare.value);
  } else {
    out["target"] = "CREATE";
    out["create_revision"] = "0";
  }
  return out;
}

json ToJson(const KvPut& put) {
  json out = {{"key", Base64Encode(put.key)}, {"value", Base64Encode(put.value)}};
  if (put.lease) out["lease"] = std::to_string(put.lease->value());
  return {{"requestPut", out}};
}

json ToJson(const KvTransaction& transaction) {
  json body = {{"compare", json::array()}, {"success", json::array()}, {"failure", json::array()}};
  for (const auto& compare : transaction.compares) body["compare"].push_back(ToJson(compare));
  for (const auto& put : transaction.puts) body["success"].push_back(ToJson(put));
  for (const auto& key : transaction.deletes) {
    body["success"].push_back({{"requestDeleteRange", {{"key", Base64Encode(key)}}}});
  }
  for (const auto& key : transaction.reads_on_failure) {
    body["failure"].push_back({{"requestRange", {{"key", Base64Encode(key)}}}});
  }
  return body;
}

}  // namespace

EtcdGateway::EtcdGateway(HttpClient& client, Metrics& metrics, std::string url,
                         std::chrono::milliseconds timeout)
    : client_(client), metrics_(metrics), url_(std::move(url)), timeout_(timeout) {}

Result<std::string> EtcdGateway::Call(const char* kind, const std::string& path, std::string body,
                                      bool writes) {
  metrics_.GetCounter("ridgehold_platform_calls", std::string("kind=\"") + kind + "\"").Add();
  HttpCall call{.method = "POST",
                .url = url_ + path,
                .headers = {{"Content-Type", "application/json"}},
                .body = std::move(body),
                .connect_timeout = timeout_,
                .total_timeout = timeout_};
  const auto judge = [&](const Failure& failure) {
    const bool may_have_landed = writes && failure.code != ResultCode::kBackendUnreachable;
    metrics_.GetCounter("ridgehold_platform_failures").Add();
    return Failure{
        may_have_landed ? ResultCode::kPlatformAnswerLost : ResultCode::kPlatformUnavailable,
        failure.detail};
  };
  return MapFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(answer, client_.Fetch(std::move(call)));
        if (answer.status == kHttpOk) return std::move(answer.body);
        // An error status does not prove that a write was not carried out.
        return Fail(ResultCode::kBackendBroken, "status " + std::to_string(answer.status));
      },
      judge);
}

Result<std::optional<KvPair>> EtcdGateway::Get(const std::string& key) {
  const json body = {{"key", Base64Encode(key)}};
  BOOST_LEAF_AUTO(text, Call("get", "/v3/kv/range", body.dump(), false));
  return ReadAnswer(text, [](const json& answer) {
    const auto pairs = ToPairs(answer);
    return pairs.empty() ? std::nullopt : std::optional(pairs.front());
  });
}

Result<std::vector<KvPair>> EtcdGateway::List(const std::string& first, const std::string& end) {
  const json body = {{"key", Base64Encode(first)}, {"range_end", Base64Encode(end)}};
  BOOST_LEAF_AUTO(text, Call("list", "/v3/kv/range", body.dump(), false));
  return ReadAnswer(text, [](const json& answer) { return ToPairs(answer); });
}

Result<KvTransactionAnswer> EtcdGateway::Commit(const KvTransaction& transaction) {
  BOOST_LEAF_AUTO(text, Call("txn", "/v3/kv/txn", ToJson(transaction).dump(), true));
  return ReadAnswer(text, [](const json& answer) {
    KvTransactionAnswer result;
    result.succeeded = answer.value("succeeded", false);
    for (const json& response : answer.value("responses", json::array())) {
      if (!response.contains("response_range")) continue;
      for (KvPair& pair : ToPairs(response["response_range"])) {
        result.reads.push_back(std::move(pair));
      }
    }
    return result;
  });
}

Result<LeaseId> EtcdGateway::GrantLease(std::chrono::seconds ttl) {
  const json body = {{"TTL", std::to_string(ttl.count())}};
  BOOST_LEAF_AUTO(text, Call("lease_grant", "/v3/lease/grant", body.dump(), true));
  return ReadAnswer(text, [](const json& answer) { return LeaseId(ToInt64(answer, "ID")); });
}

Result<bool> EtcdGateway::KeepAlive(LeaseId lease) {
  const json body = {{"ID", std::to_string(lease.value())}};
  BOOST_LEAF_AUTO(text, Call("lease_keepalive", "/v3/lease/keepalive", body.dump(), true));
  return ReadAnswer(text, [](const json& answer) {
    return answer.contains("result") && ToInt64(answer["result"], "TTL") > 0;
  });
}

std::shared_ptr<Transfer> EtcdGateway::Watch(const std::string& key,
                                             std::function<void()> on_change,
                                             std::function<void()> on_end) {
  metrics_.GetCounter("ridgehold_platform_calls", "kind=\"watch\"").Add();
  const json body = {{"create_request", {{"key", Base64Encode(key)}}}};
  // What the events hold does not matter: the watcher reads the key's state.
  return client_.Start({.method = "POST",
                        .url = url_ + "/v3/watch",
                        .headers = {{"Content-Type", "application/json"}},
                        .body = body.dump(),
                        .connect_timeout = timeout_},
                       {.on_head = nullptr,
                        .on_body =
                            [on_change = std::move(on_change)](std::string_view) {
                              on_change();
                              return true;
                            },
                        .on_end = [on_end = std::move(on_end)](const TransferEnd&) { on_end(); }});
}

}  // namespace ridgehold
