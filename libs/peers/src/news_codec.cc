#include "peers/news_codec.h"

#include <algorithm>
#include <utility>

#include "gateway.pb.h"
#include "peers/load_messages.h"
#include "peers/origin_codec.h"
#include "peers/quota_codec.h"

namespace ridgehold {
namespace {

void EncodeItems(const GossipItems& items, wire::GatewayNews& message) {
  for (const PlacementUpdate& placed : items.placed) {
    wire::GatewayPlaced& entry = *message.add_placed();
    entry.set_backend(placed.backend);
    entry.set_new_tokens(placed.new_tokens);
    entry.set_own_tokens(placed.own_tokens);
    entry.set_weights(placed.weights.value());
    entry.set_fetched_from(placed.fetched_from);
    entry.set_fetch_us(static_cast<std::uint32_t>(placed.fetch_duration.count()));
    entry.set_saved_to(placed.saved_to);
    entry.set_save_us(static_cast<std::uint32_t>(placed.save_duration.count()));
    for (const SharedPart& part : placed.parts) {
      entry.add_parts(part.hash);
      entry.add_part_tokens(part.tokens);
    }
  }
  for (const HoldUpdate& hold : items.holds) {
    wire::GatewayHold& entry = *message.add_holds();
    entry.set_backend(hold.backend);
    entry.set_for_ms(static_cast<std::uint32_t>(hold.duration.count()));
  }
  for (const BackendHash backend : items.unreachable) message.add_unreachable(backend);
  for (const ProcessEndUpdate& end : items.ended) {
    wire::ProcessEnd& entry = *message.add_ended();
    entry.set_backend(end.backend);
    entry.set_age_ms(static_cast<std::uint32_t>(end.age.count()));
  }
  for (const WeightsUpdate& weights : items.weights) {
    wire::GatewayWeights& entry = *message.add_weights();
    entry.set_backend(weights.backend);
    entry.set_model(weights.model.value());
    entry.set_number(weights.number.value());
  }
  for (const PerformanceUpdate& update : items.performance) {
    wire::GatewayPerformance& entry = *message.add_performance();
    entry.set_backend(update.backend);
    entry.set_expected_ms(static_cast<float>(update.sample.expected_ms));
    entry.set_observed_ms(static_cast<float>(update.sample.observed_ms));
  }
}

PerformanceUpdate DecodePerformance(const wire::GatewayPerformance& entry) {
  return {entry.backend(), {entry.expected_ms(), entry.observed_ms()}};
}

bool HasValidPerformance(const wire::GatewayNews& message) {
  return std::ranges::all_of(message.performance(), [](const wire::GatewayPerformance& entry) {
    return IsValid(DecodePerformance(entry).sample);
  });
}

GossipItems DecodeItems(const wire::GatewayNews& message) {
  GossipItems items;
  for (const wire::GatewayPlaced& entry : message.placed()) {
    PlacementUpdate placed;
    placed.backend = entry.backend();
    placed.new_tokens = entry.new_tokens();
    placed.own_tokens = entry.own_tokens();
    placed.weights = WeightsNumber(entry.weights());
    placed.fetched_from = entry.fetched_from();
    placed.fetch_duration = Duration(entry.fetch_us());
    placed.saved_to = entry.saved_to();
    placed.save_duration = Duration(entry.save_us());
    const int parts = std::min(entry.parts_size(), entry.part_tokens_size());
    for (int i = 0; i < parts; ++i) placed.parts.push_back({entry.parts(i), entry.part_tokens(i)});
    items.placed.push_back(std::move(placed));
  }
  for (const wire::GatewayHold& entry : message.holds()) {
    items.holds.push_back({entry.backend(), std::chrono::milliseconds(entry.for_ms())});
  }
  items.unreachable.assign(message.unreachable().begin(), message.unreachable().end());
  for (const wire::ProcessEnd& entry : message.ended()) {
    items.ended.push_back({entry.backend(), std::chrono::milliseconds(entry.age_ms())});
  }
  for (const wire::GatewayWeights& entry : message.weights()) {
    items.weights.push_back(
        {entry.backend(), ModelId(entry.model()), WeightsNumber(entry.number())});
  }
  for (const wire::GatewayPerformance& entry : message.performance()) {
    items.performance.push_back(DecodePerformance(entry));
  }
  return items;
}

void EncodeNamings(const std::vector<AnnouncementUpdate>& namings, wire::GatewayNews& message) {
  for (const AnnouncementUpdate& naming : namings) {
    wire::GatewayNaming& entry =
        naming.assumed ? *message.add_assumed_namings() : *message.add_namings();
    entry.set_model(naming.model.value());
    entry.set_number(naming.number.value());
    entry.set_age_ms(static_cast<std::uint32_t>(naming.age.count()));
  }
}

std::vector<AnnouncementUpdate> DecodeNamings(const wire::GatewayNews& message) {
  std::vector<AnnouncementUpdate> namings;
  const auto decode = [&namings](const wire::GatewayNaming& entry, bool assumed) {
    namings.push_back({ModelId(entry.model()), WeightsNumber(entry.number()),
                       std::chrono::milliseconds(entry.age_ms()), assumed});
  };
  for (const wire::GatewayNaming& entry : message.namings()) decode(entry, false);
  for (const wire::GatewayNaming& entry : message.assumed_namings()) decode(entry, true);
  return namings;
}

std::uint32_t Microseconds(Duration time) {
  return static_cast<std::uint32_t>(std::max(time, Duration::zero()).count());
}

void EncodeReport(const BackendReport& report, wire::BackendReport& entry) {
  entry.set_backend(report.backend);
  entry.set_running(report.work.running);
  entry.set_unread_tokens(report.work.unread_tokens);
  entry.set_unrepeatable(report.work.unrepeatable);
  entry.set_uncovered(report.work.uncovered);
  entry.set_memory_tokens(report.work.memory_tokens);
  entry.set_hold_ms(Microseconds(report.hold) / 1'000);
  entry.set_weights(report.weights.value());
  entry.set_known_tokens(report.prefix_match.tokens);
  entry.set_readable_tokens(report.prefix_match.prefilled);
  entry.set_used_since(report.prefix_match.used_since);
  entry.set_link_us(Microseconds(report.link_wait));
  entry.set_unreachable(!report.reachable);
  entry.set_slowness(report.performance.slowness);
  entry.set_home_weight(report.performance.home_weight);
  if (report.ended) entry.set_ended_ms(static_cast<std::uint32_t>(report.ended->count()));
}

BackendReport DecodeReport(const wire::BackendReport& entry) {
  BackendReport report;
  report.backend = entry.backend();
  report.work = {entry.running(), entry.unread_tokens(), entry.unrepeatable(), entry.uncovered(),
                 entry.memory_tokens()};
  report.hold = std::chrono::milliseconds(entry.hold_ms());
  report.weights = WeightsNumber(entry.weights());
  report.prefix_match = {entry.known_tokens(), entry.readable_tokens(), entry.used_since()};
  report.link_wait = Duration(entry.link_us());
  report.reachable = !entry.unreachable();
  report.performance = {entry.slowness(), entry.home_weight()};
  if (entry.has_ended_ms()) report.ended = std::chrono::milliseconds(entry.ended_ms());
  return report;
}

GossipMessage DecodeNewsOf(const wire::GatewayNews& message) {
  GossipMessage news;
  news.daemon = DaemonId(message.daemon());
  news.incarnation = message.incarnation();
  news.sequence = message.sequence();
  for (const wire::GatewayLoad& entry : message.loads()) {
    news.loads.push_back({entry.backend(), entry.running(), entry.unread_tokens(),
                          entry.unrepeatable(), entry.uncovered(), entry.memory_tokens()});
  }
  news.items = DecodeItems(message);
  news.namings = DecodeNamings(message);
  return news;
}

LoadQuestionMessage DecodeQuestion(const wire::GatewayNews& message) {
  const wire::LoadQuestion& question = message.question();
  LoadQuestionMessage decoded;
  decoded.daemon = DaemonId(message.daemon());
  decoded.id = question.id();
  decoded.backends.assign(question.backends().begin(), question.backends().end());
  for (const std::uint64_t part : question.parts()) decoded.parts.push_back({part, 0});
  decoded.model = ModelId(question.model());
  decoded.weights = WeightsNumber(question.weights());
  if (question.stores_size() > 0) decoded.store = question.stores(0);
  decoded.wants_namings = question.wants_namings();
  decoded.wants_holders = question.wants_holders();
  decoded.workspace = question.workspace();
  decoded.service = question.service();
  return decoded;
}

DemandSample DecodeDemand(const wire::LoadAnswer& answer) {
  return {answer.interactive_running(), answer.interactive_rate(), answer.bulk_rate()};
}

LoadAnswerMessage DecodeAnswer(const wire::GatewayNews& message) {
  const wire::LoadAnswer& answer = message.answer();
  LoadAnswerMessage decoded;
  decoded.daemon = DaemonId(message.daemon());
  decoded.id = answer.id();
  for (const wire::BackendReport& entry : answer.backends()) {
    decoded.backends.push_back(DecodeReport(entry));
  }
  if (answer.stores_size() > 0) {
    const wire::StoreReport& entry = answer.stores(0);
    decoded.store = StoreReport{entry.store(), entry.readable_tokens(), Duration(entry.link_us())};
  }
  decoded.sample = {answer.beginning_tokens(), answer.all_tokens()};
  decoded.workspace_sample = {answer.workspace_tokens(), answer.workspace_total()};
  if (answer.has_demand()) decoded.demand = DecodeDemand(answer);
  decoded.holders.assign(answer.holders().begin(), answer.holders().end());
  decoded.namings = DecodeNamings(message);
  return decoded;
}

PoisonUpdate DecodePoisonNews(const wire::PoisonNews& message) {
  PoisonUpdate news;
  const int ends = std::min(message.ended_backends_size(), message.present_size());
  for (int i = 0; i < ends; ++i) {
    news.crashes.push_back({message.ended_backends(i), RequestFingerprint(message.present(i))});
  }
  for (const std::uint64_t request : message.survived()) news.cleared.emplace_back(request);
  for (const std::uint64_t request : message.quarantined()) news.quarantined.emplace_back(request);
  const int interruptions =
      std::min(message.interrupting_backends_size(), message.interrupted_size());
  for (int i = 0; i < interruptions; ++i) {
    news.interruptions.push_back(
        {message.interrupting_backends(i), RequestFingerprint(message.interrupted(i))});
  }
  for (const wire::CrashSuspect& from : message.suspects()) {
    CrashSuspect suspect{
        from.backend(), RequestFingerprint(from.content()), from.workspace(), {}, from.proved()};
    for (const std::uint64_t part : from.parts()) suspect.parts.emplace_back(part);
    news.suspects.push_back(std::move(suspect));
  }
  for (const wire::PartSurvival& survival : message.survivals()) {
    news.survivals.push_back(
        {RequestFingerprint(survival.part()), std::chrono::milliseconds(survival.age_ms())});
  }
  return news;
}

PushbackUpdateList DecodeWords(const wire::GatewayNews& message) {
  PushbackUpdateList news;
  for (const wire::BackendWord& word : message.words()) {
    PushbackUpdate item{word.backend(), word.number(), std::nullopt, word.leaving(), std::nullopt};
    if (word.limited()) item.limit = RequestRate::FromThousandths(word.limit());
    if (word.rest_left_ms() > 0) item.backoff_left = std::chrono::milliseconds(word.rest_left_ms());
    if (word.has_room()) {
      item.room = RoomUpdate{RejectionLimit(word.room().rejections_per_s()), word.room().room(),
                             std::chrono::milliseconds(word.room().blocked_left_ms())};
    }
    news.items.push_back(item);
  }
  return news;
}

}  // namespace

std::string EncodeNews(const GossipMessage& news) {
  wire::GatewayNews message;
  message.set_daemon(news.daemon.value());
  message.set_incarnation(news.incarnation);
  message.set_sequence(news.sequence);
  for (const LoadUpdate& load : news.loads) {
    wire::GatewayLoad& entry = *message.add_loads();
    entry.set_backend(load.backend);
    entry.set_running(load.running);
    entry.set_unread_tokens(load.unread_tokens);
    entry.set_unrepeatable(load.unrepeatable);
    entry.set_uncovered(load.uncovered);
    entry.set_memory_tokens(load.memory_tokens);
  }
  EncodeItems(news.items, message);
  EncodeNamings(news.namings, message);
  return message.SerializeAsString();
}

std::string Encode(const LoadQuestionMessage& question) {
  wire::GatewayNews message;
  message.set_daemon(question.daemon.value());
  wire::LoadQuestion& body = *message.mutable_question();
  body.set_id(question.id);
  for (const BackendHash backend : question.backends) body.add_backends(backend);
  for (const SharedPart& part : question.parts) body.add_parts(part.hash);
  body.set_model(question.model.value());
  body.set_weights(question.weights.value());
  if (question.store) body.add_stores(*question.store);
  body.set_wants_namings(question.wants_namings);
  body.set_wants_holders(question.wants_holders);
  body.set_workspace(question.workspace);
  body.set_service(question.service);
  return message.SerializeAsString();
}

std::string Encode(const LoadAnswerMessage& answer) {
  wire::GatewayNews message;
  message.set_daemon(answer.daemon.value());
  wire::LoadAnswer& body = *message.mutable_answer();
  body.set_id(answer.id);
  for (const BackendReport& report : answer.backends) EncodeReport(report, *body.add_backends());
  if (answer.store) {
    wire::StoreReport& entry = *body.add_stores();
    entry.set_store(answer.store->link);
    entry.set_readable_tokens(answer.store->readable_tokens);
    entry.set_link_us(Microseconds(answer.store->link_wait));
  }
  for (const BackendHash holder : answer.holders) body.add_holders(holder);
  body.set_beginning_tokens(static_cast<float>(answer.sample.tokens));
  body.set_all_tokens(static_cast<float>(answer.sample.total));
  body.set_workspace_tokens(static_cast<float>(answer.workspace_sample.tokens));
  body.set_workspace_total(static_cast<float>(answer.workspace_sample.total));
  if (answer.demand) {
    body.set_has_demand(true);
    body.set_interactive_running(static_cast<float>(answer.demand->interactive_running));
    body.set_interactive_rate(static_cast<float>(answer.demand->interactive_rate));
    body.set_bulk_rate(static_cast<float>(answer.demand->bulk_rate));
  }
  EncodeNamings(answer.namings, message);
  return message.SerializeAsString();
}

std::string Encode(const DaemonId& sender, const PoisonUpdate& news) {
  wire::GatewayNews message;
  message.set_daemon(sender.value());
  wire::PoisonNews& body = *message.mutable_poison();
  for (const CrashReport& end : news.crashes) {
    body.add_ended_backends(end.backend);
    body.add_present(end.request.value());
  }
  for (const RequestFingerprint request : news.cleared) body.add_survived(request.value());
  for (const RequestFingerprint request : news.quarantined) body.add_quarantined(request.value());
  for (const InterruptionReport& interruption : news.interruptions) {
    body.add_interrupting_backends(interruption.backend);
    body.add_interrupted(interruption.request.value());
  }
  for (const CrashSuspect& suspect : news.suspects) {
    wire::CrashSuspect& to = *body.add_suspects();
    to.set_backend(suspect.backend);
    to.set_content(suspect.content.value());
    to.set_workspace(suspect.workspace);
    to.set_proved(suspect.proved);
    for (const RequestFingerprint part : suspect.parts) to.add_parts(part.value());
  }
  for (const SurvivalReport& survival : news.survivals) {
    wire::PartSurvival& to = *body.add_survivals();
    to.set_part(survival.part.value());
    to.set_age_ms(static_cast<std::uint32_t>(survival.age.count()));
  }
  return message.SerializeAsString();
}

std::string Encode(const DaemonId& sender, const PushbackUpdateList& news) {
  wire::GatewayNews message;
  message.set_daemon(sender.value());
  for (const PushbackUpdate& item : news.items) {
    wire::BackendWord& word = *message.add_words();
    word.set_backend(item.backend);
    word.set_number(item.number);
    word.set_leaving(item.leaving);
    word.set_limited(item.limit.has_value());
    if (item.limit) word.set_limit(item.limit->thousandths());
    if (item.backoff_left)
      word.set_rest_left_ms(static_cast<std::uint32_t>(item.backoff_left->count()));
    if (!item.room) continue;
    word.mutable_room()->set_rejections_per_s(item.room->limit.value());
    word.mutable_room()->set_room(item.room->room);
    word.mutable_room()->set_blocked_left_ms(
        static_cast<std::uint32_t>(item.room->blocked_left.count()));
  }
  return message.SerializeAsString();
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  wire::GatewayNews message;
  const bool parsed = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!parsed || message.daemon().empty()) {
    return Fail(ResultCode::kMalformedPeerMessage,
                "not a gateway message: parse error or sender missing");
  }
  if (!HasValidPerformance(message)) {
    return Fail(ResultCode::kMalformedPeerMessage, "waits at an engine that cannot have occurred");
  }
  if (message.answer().has_demand() && !IsPlausible(DecodeDemand(message.answer()))) {
    return Fail(ResultCode::kMalformedPeerMessage, "demand out of range");
  }
  if (message.has_question()) return PeerMessage(DecodeQuestion(message));
  if (message.has_answer()) {
    LoadAnswerMessage answer = DecodeAnswer(message);
    if (!answer.workspace_sample.IsValid()) {
      return Fail(ResultCode::kMalformedPeerMessage, "a load answer with impossible shares");
    }
    return PeerMessage(std::move(answer));
  }
  if (message.has_poison()) return PeerMessage(DecodePoisonNews(message.poison()));
  if (message.words_size() > 0) return PeerMessage(DecodeWords(message));
  if (auto quota = DecodeQuota(message)) return PeerMessage(std::move(*quota));
  if (auto origin = DecodeOrigin(message)) return PeerMessage(std::move(*origin));
  return PeerMessage(DecodeNewsOf(message));
}

Result<GossipMessage> DecodeNews(std::string_view bytes) {
  BOOST_LEAF_AUTO(message, DecodePeerMessage(bytes));
  if (auto* news = std::get_if<GossipMessage>(&message)) return std::move(*news);
  return Fail(ResultCode::kMalformedPeerMessage,
              "a gateway message of another kind than an update");
}

}  // namespace ridgehold
