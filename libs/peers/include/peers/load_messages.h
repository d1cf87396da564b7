// Load queries to the trackers of backend servers, and their answers, as datagrams.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "gateway/gateway_gossip.h"
#include "gateway/load_report.h"
#include "gateway/poison_update.h"
#include "gateway/pushback_update.h"
#include "quota/quota_messages.h"
#include "resumption/origin_messages.h"

namespace ridgehold {

/// A query to one gateway.
struct LoadQuestionMessage {
  DaemonId daemon;       ///< the sender
  std::uint64_t id = 0;  ///< echoed in the answer
  std::vector<BackendHash> backends;
  std::vector<SharedPart> parts;  ///< token counts are not sent
  ModelId model;
  WeightsNumber weights;
  std::optional<LinkHash> store;
  bool wants_namings = false;
  bool wants_holders = false;
  WorkspaceHash workspace = 0;
  std::uint64_t service = 0;  ///< hash of the service whose demand is wanted; 0: none
};

/// The answer to a LoadQuestionMessage.
struct LoadAnswerMessage {
  DaemonId daemon;  ///< the sender
  std::uint64_t id = 0;
  std::vector<BackendReport> backends;
  std::optional<StoreReport> store;
  std::vector<BackendHash> holders;
  PrefixSample sample;
  WorkspaceSample workspace_sample;
  std::optional<DemandSample> demand;  ///< the sender's own
  std::vector<AnnouncementUpdate> namings;
};

/// Any datagram between gateways.
using PeerMessage = std::variant<GossipMessage, LoadQuestionMessage, LoadAnswerMessage,
                                 PoisonUpdate, PushbackUpdateList, QuotaMessage, OriginMessage>;

std::string Encode(const LoadQuestionMessage& question);
std::string Encode(const LoadAnswerMessage& answer);
std::string Encode(const DaemonId& sender, const PoisonUpdate& news);
std::string Encode(const DaemonId& sender, const PushbackUpdateList& news);

/// Fails with kMalformedPeerMessage.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace ridgehold
