#include "peers/origin_codec.h"

#include <variant>

#include "gateway.pb.h"

namespace ridgehold {
namespace {

void EncodeInto(const OriginNotice& notice, wire::GatewayNews& message) {
  for (const auto& [attempt, origin] : notice.streams) {
    wire::StreamOrigin& body = *message.add_origins();
    body.set_attempt(attempt.value());
    body.set_scope(origin.scope.value());
    body.set_release(origin.release.value());
  }
}

void EncodeInto(const OriginQuery& query, wire::GatewayNews& message) {
  wire::OriginQuery& body = *message.mutable_origin_query();
  body.set_number(query.number);
  body.set_attempt(query.attempt.value());
  body.set_scope(query.scope.value());
  body.set_service(query.service.value());
}

void EncodeInto(const OriginAnswer& answer, wire::GatewayNews& message) {
  wire::OriginAnswer& body = *message.mutable_origin_answer();
  body.set_number(answer.number);
  body.set_known(answer.release.has_value());
  if (answer.release) body.set_release(answer.release->value());
  body.set_several_releases(answer.several_releases);
  body.set_single_release(answer.only_release.has_value());
  if (answer.only_release) body.set_only_release(answer.only_release->value());
  body.set_supposes_single_release(answer.supposed_release.has_value());
  if (answer.supposed_release) body.set_supposed_release(answer.supposed_release->value());
}

OriginNotice DecodeNotice(const wire::GatewayNews& message) {
  OriginNotice notice;
  for (const wire::StreamOrigin& body : message.origins()) {
    notice.streams.emplace_back(AttemptHash(body.attempt()),
                                StreamOrigin{StreamScope(body.scope()), ReleaseId(body.release())});
  }
  return notice;
}

OriginQuery Decode(const wire::OriginQuery& body) {
  return {body.number(), AttemptHash(body.attempt()), StreamScope(body.scope()),
          ServiceId(body.service())};
}

OriginAnswer Decode(const wire::OriginAnswer& body) {
  OriginAnswer answer;
  answer.number = body.number();
  if (body.known()) answer.release = ReleaseId(body.release());
  answer.several_releases = body.several_releases();
  if (body.single_release()) answer.only_release = ReleaseId(body.only_release());
  if (body.supposes_single_release()) {
    answer.supposed_release = ReleaseId(body.supposed_release());
  }
  return answer;
}

}  // namespace

std::string Encode(const DaemonId& sender, const OriginMessage& message) {
  wire::GatewayNews encoded;
  encoded.set_daemon(sender.value());
  std::visit([&](const auto& body) { EncodeInto(body, encoded); }, message);
  return encoded.SerializeAsString();
}

std::optional<OriginMessage> DecodeOrigin(const wire::GatewayNews& message) {
  if (message.origins_size() > 0) return DecodeNotice(message);
  if (message.has_origin_query()) return Decode(message.origin_query());
  if (message.has_origin_answer()) return Decode(message.origin_answer());
  return std::nullopt;
}

}  // namespace ridgehold
