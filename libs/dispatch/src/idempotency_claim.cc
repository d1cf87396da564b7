#include "dispatch/idempotency_claim.h"

#include <nlohmann/json.hpp>

#include "base/base64.h"

namespace ridgehold {
namespace {

using nlohmann::json;

// Clocks of entry instances may differ by this much.
constexpr std::chrono::milliseconds kClockSkew{5'000};

}  // namespace

std::string IdempotencyClaim::Serialize() const {
  return json{
      {"attempt", attempt.value()}, {"fingerprint", fingerprint}, {"done", state == State::kDone},
      {"started", started_unix_ms}, {"status", status},           {"content_type", content_type},
      {"body", Base64Encode(body)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<IdempotencyClaim> IdempotencyClaim::Parse(std::string_view value) {
  try {
    const json stored = json::parse(value);
    IdempotencyClaim claim;
    claim.attempt = RequestId(stored.at("attempt").get<std::string>());
    claim.fingerprint = stored.at("fingerprint").get<std::string>();
    claim.state = stored.at("done").get<bool>() ? State::kDone : State::kStarted;
    claim.started_unix_ms = stored.at("started").get<std::uint64_t>();
    claim.status = stored.at("status").get<int>();
    claim.content_type = stored.at("content_type").get<std::string>();
    const auto body = Base64Decode(stored.at("body").get<std::string>());
    if (!body) return std::nullopt;
    claim.body = *body;
    return claim;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

ClaimVerdict JudgeClaim(const IdempotencyClaim& stored, const RequestId& attempt,
                        std::string_view fingerprint, std::uint64_t now_unix_ms,
                        std::chrono::milliseconds longest_call) {
  if (stored.attempt == attempt) return ClaimVerdict::kMine;
  if (stored.fingerprint != fingerprint) return ClaimVerdict::kMismatch;
  if (stored.state == IdempotencyClaim::State::kDone) return ClaimVerdict::kAnswered;
  const auto limit = static_cast<std::uint64_t>((longest_call + kClockSkew).count());
  return now_unix_ms < stored.started_unix_ms + limit ? ClaimVerdict::kInProgress
                                                      : ClaimVerdict::kUnknown;
}

}  // namespace ridgehold
