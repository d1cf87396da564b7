#include "peers/news_codec.h"

#include <algorithm>
#include <utility>

#include "gateway.pb.h"

namespace ridgehold {
namespace {

void EncodeItems(const NewsItems& items, wire::GatewayNews& message) {
  for (const PlacedNews& placed : items.placed) {
    wire::GatewayPlaced& entry = *message.add_placed();
    entry.set_backend(placed.backend);
    entry.set_new_tokens(placed.new_tokens);
    entry.set_own_tokens(placed.own_tokens);
    entry.set_weights(placed.weights.value());
    entry.set_fetched_from(placed.fetched_from);
    entry.set_fetch_us(static_cast<std::uint32_t>(placed.fetch_length.count()));
    entry.set_saved_to(placed.saved_to);
    entry.set_save_us(static_cast<std::uint32_t>(placed.save_length.count()));
    for (const SharedPart& part : placed.parts) {
      entry.add_parts(part.hash);
      entry.add_part_tokens(part.tokens);
    }
  }
  for (const HoldNews& hold : items.holds) {
    wire::GatewayHold& entry = *message.add_holds();
    entry.set_backend(hold.backend);
    entry.set_for_ms(static_cast<std::uint32_t>(hold.length.count()));
  }
  for (const BackendHash backend : items.unreachable) message.add_unreachable(backend);
  for (const WeightsNews& weights : items.weights) {
    wire::GatewayWeights& entry = *message.add_weights();
    entry.set_backend(weights.backend);
    entry.set_model(weights.model.value());
    entry.set_number(weights.number.value());
  }
}

NewsItems DecodeItems(const wire::GatewayNews& message) {
  NewsItems items;
  for (const wire::GatewayPlaced& entry : message.placed()) {
    PlacedNews placed{entry.backend(),
                      entry.new_tokens(),
                      entry.own_tokens(),
                      {},
                      WeightsNumber(entry.weights()),
                      entry.fetched_from(),
                      Duration(entry.fetch_us()),
                      entry.saved_to(),
                      Duration(entry.save_us())};
    const int parts = std::min(entry.parts_size(), entry.part_tokens_size());
    for (int i = 0; i < parts; ++i) placed.parts.push_back({entry.parts(i), entry.part_tokens(i)});
    items.placed.push_back(std::move(placed));
  }
  for (const wire::GatewayHold& entry : message.holds()) {
    items.holds.push_back({entry.backend(), std::chrono::milliseconds(entry.for_ms())});
  }
  items.unreachable.assign(message.unreachable().begin(), message.unreachable().end());
  for (const wire::GatewayWeights& entry : message.weights()) {
    items.weights.push_back(
        {entry.backend(), ModelId(entry.model()), WeightsNumber(entry.number())});
  }
  return items;
}

}  // namespace

std::string EncodeNews(const GatewayNews& news) {
  wire::GatewayNews message;
  message.set_daemon(news.daemon.value());
  message.set_incarnation(news.incarnation);
  message.set_sequence(news.sequence);
  for (const LoadNews& load : news.loads) {
    wire::GatewayLoad& entry = *message.add_loads();
    entry.set_backend(load.backend);
    entry.set_running(load.running);
    entry.set_unread_tokens(load.unread_tokens);
    entry.set_unrepeatable(load.unrepeatable);
    entry.set_uncovered(load.uncovered);
  }
  EncodeItems(news.items, message);
  for (const NamingNews& naming : news.namings) {
    wire::GatewayNaming& entry = *message.add_namings();
    entry.set_model(naming.model.value());
    entry.set_number(naming.number.value());
    entry.set_age_ms(static_cast<std::uint32_t>(naming.age.count()));
  }
  return message.SerializeAsString();
}

Result<GatewayNews> DecodeNews(std::string_view bytes) {
  wire::GatewayNews message;
  const bool parsed = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!parsed || message.daemon().empty()) {
    return Fail(ResultCode::kMalformedPeerMessage, "not a gateway's message");
  }
  GatewayNews news;
  news.daemon = DaemonId(message.daemon());
  news.incarnation = message.incarnation();
  news.sequence = message.sequence();
  for (const wire::GatewayLoad& entry : message.loads()) {
    news.loads.push_back({entry.backend(), entry.running(), entry.unread_tokens(),
                          entry.unrepeatable(), entry.uncovered()});
  }
  news.items = DecodeItems(message);
  for (const wire::GatewayNaming& entry : message.namings()) {
    news.namings.push_back({ModelId(entry.model()), WeightsNumber(entry.number()),
                            std::chrono::milliseconds(entry.age_ms())});
  }
  return news;
}

}  // namespace ridgehold
