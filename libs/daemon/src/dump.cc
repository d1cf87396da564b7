#include "dump.h"

#include <nlohmann/json.hpp>

#include "daemon/config_sync.h"
#include "frontend/in_flight_table.h"
#include "routing/router.h"

namespace ridgehold {
namespace {

using nlohmann::json;

json ToJson(const BackendState& row) {
  return {{"id", row.server.id.value()},
          {"present", row.present},
          {"zone", row.server.zone.value()},
          {"url", row.server.url},
          {"draining", row.server.draining},
          {"leaving", row.leaving || row.listed_leaving},
          {"incarnation", row.incarnation.value()},
          {"weights", row.weights.value()},
          {"own_tokens", row.own_tokens},
          {"others_tokens", row.others_tokens},
          {"running", row.own_running},
          {"failures", row.failures}};
}

json ToJson(const Peer& peer) {
  return {{"id", peer.id.value()},
          {"zone", peer.zone.value()},
          {"address", peer.address},
          {"incarnation", peer.incarnation.value()},
          {"revision", peer.revision.value()},
          {"relay", peer.relay}};
}

json ToJson(const InFlightRequest& request) {
  return {{"id", request.id.value()},
          {"workspace", request.workspace.value()},
          {"target", request.target}};
}

template <class Entries>
json ToJsonList(const Entries& entries) {
  json list = json::array();
  for (const auto& entry : entries) list.push_back(ToJson(entry));
  return list;
}

}  // namespace

std::string MakeDump(const DaemonIdentity& identity, const DumpFlags& flags, const ConfigSync& sync,
                     const Router& router, const InFlightTable& in_flight) {
  const TimePoint now = Clock::now();
  return json{{"daemon", identity.id.value()},
              {"zone", identity.zone.value()},
              {"incarnation", identity.incarnation.value()},
              {"ready", flags.ready},
              {"shutting_down", flags.shutting_down},
              {"revision", sync.revision().value()},
              {"digest", sync.digest()},
              {"relay", sync.IsRelay(now)},
              {"configuration", FormatScript(sync.config()->ToStatements())},
              {"backends", ToJsonList(router.Rows())},
              {"peers", ToJsonList(sync.Peers(now))},
              {"requests", ToJsonList(in_flight.List())},
              {"cache_picture_blocks", router.picture_size()}}
      .dump(2, ' ', false, json::error_handler_t::replace);
}

}  // namespace ridgehold
