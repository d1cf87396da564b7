#include "quota/quota_messages.h"

#include <array>
#include <string_view>

namespace ridgehold {
namespace {

std::string ToText(const QuotaRequestId& id) {
  return std::to_string(id.incarnation) + "." + std::to_string(id.number);
}

constexpr std::array<std::string_view, 4> kVerdicts = {"granted", "over quota", "too large",
                                                       "not holder"};

}  // namespace

std::string ToText(const QuotaMessage& message) {
  if (const auto* request = std::get_if<QuotaRequest>(&message)) {
    return std::string(request->is_loan ? "loan " : "request ") + ToText(request->id) + " for " +
           std::to_string(request->amount) + " at config version " +
           std::to_string(request->limits.config_version);
  }
  if (const auto* reply = std::get_if<QuotaReply>(&message)) {
    return "reply to " + ToText(reply->id) + ": " +
           std::string(kVerdicts.at(static_cast<std::size_t>(reply->verdict))) + " " +
           std::to_string(reply->granted);
  }
  return "refund of " + ToText(std::get<QuotaRefund>(message).id);
}

}  // namespace ridgehold
