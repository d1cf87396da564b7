#include "peers/quota_codec.h"

#include <algorithm>
#include <limits>
#include <type_traits>
#include <variant>

#include "gateway.pb.h"

namespace ridgehold {
namespace {

/// Clamps a received value, which might otherwise become a negative amount.
QuotaAmount PartsOf(std::uint64_t value) {
  constexpr std::uint64_t kMost = std::numeric_limits<QuotaAmount>::max();
  return static_cast<QuotaAmount>(std::min(value, kMost));
}

template <class Body>
void EncodeId(const QuotaRequestId& id, Body& body) {
  body.set_incarnation(id.incarnation);
  body.set_number(id.number);
}

template <class Body>
QuotaRequestId DecodeId(const Body& body) {
  return {body.incarnation(), body.number()};
}

void EncodeInto(const QuotaRequest& request, wire::GatewayNews& message) {
  wire::QuotaRequest& body = *message.mutable_quota_request();
  EncodeId(request.id, body);
  body.set_subject(request.subject.value());
  body.set_parts(static_cast<std::uint64_t>(request.amount));
  body.set_is_loan(request.is_loan);
  body.set_config(request.limits.config_version);
  body.set_rate(request.limits.bursting.tokens_per_s);
  body.set_burst(request.limits.bursting.burst);
  body.set_steady_rate(request.limits.steady.tokens_per_s);
  body.set_steady_burst(request.limits.steady.burst);
}

void EncodeInto(const QuotaReply& reply, wire::GatewayNews& message) {
  wire::QuotaReply& body = *message.mutable_quota_reply();
  EncodeId(reply.id, body);
  body.set_verdict(static_cast<std::uint32_t>(reply.verdict));
  body.set_granted(static_cast<std::uint64_t>(reply.granted));
  body.set_retry_after_us(static_cast<std::uint64_t>(reply.retry_after.count()));
}

void EncodeInto(const QuotaRefund& refund, wire::GatewayNews& message) {
  EncodeId(refund.id, *message.mutable_quota_refund());
}

QuotaRequest Decode(const wire::QuotaRequest& body) {
  QuotaRequest request;
  request.id = DecodeId(body);
  request.subject = QuotaSubject(body.subject());
  request.amount = PartsOf(body.parts());
  request.is_loan = body.is_loan();
  request.limits = {
      body.config(), {body.rate(), body.burst()}, {body.steady_rate(), body.steady_burst()}};
  return request;
}

QuotaReply Decode(const wire::QuotaReply& body) {
  QuotaReply reply;
  reply.id = DecodeId(body);
  const auto last = static_cast<std::uint32_t>(QuotaVerdict::kNotHolder);
  reply.verdict = static_cast<QuotaVerdict>(std::min(body.verdict(), last));
  reply.granted = PartsOf(body.granted());
  reply.retry_after = Duration(PartsOf(body.retry_after_us()));
  return reply;
}

}  // namespace

std::string Encode(const DaemonId& sender, const QuotaMessage& message) {
  wire::GatewayNews encoded;
  encoded.set_daemon(sender.value());
  std::visit([&](const auto& body) { EncodeInto(body, encoded); }, message);
  return encoded.SerializeAsString();
}

std::optional<QuotaMessage> DecodeQuota(const wire::GatewayNews& message) {
  if (message.has_quota_request()) return Decode(message.quota_request());
  if (message.has_quota_reply()) return Decode(message.quota_reply());
  if (message.has_quota_refund()) return QuotaRefund{DecodeId(message.quota_refund())};
  return std::nullopt;
}

}  // namespace ridgehold
