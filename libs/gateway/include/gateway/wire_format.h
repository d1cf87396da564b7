// Concept for the codec between the gateway and one HTTP representation of requests and answers.

#pragma once

#include <concepts>
#include <optional>
#include <string>

#include "base/result.h"
#include "gateway/attempt_messages.h"
#include "gateway/inbound_request.h"
#include "incarnation/process_statement.h"
#include "net/beast.h"

namespace ridgehold {

/// The header of a request, without its body.
using RequestHead = http::request_header<>;

/// Decodes the messages of callers and backend servers and encodes those sent to them. Stateless;
/// makes no decisions.
template <class Wire>
concept WireFormat = requires(const RequestHead& request_head, const RequestMessage& request,
                              const ResponseHead& answer_head, const AttemptDirectives& directives,
                              const BackendId& backend, const std::string& address,
                              const ResponseMessage& status, TimePoint now) {
  /// Fails with kMalformedRequest.
  { Wire::ReadRequest(request_head, now) } -> std::same_as<Result<InboundRequest>>;
  /// The caller's request as it is sent to a backend server, without its body, whose length it
  /// states.
  { Wire::MakeAttempt(request, directives) } -> std::same_as<RequestMessage>;
  { Wire::ReadAnswerHead(answer_head) } -> std::same_as<BackendResponseHead>;
  /// The header fields of a backend server's answer that are forwarded to the caller.
  { Wire::MakeCallerHead(answer_head) } -> std::same_as<ResponseHead>;
  /// Asks the process at `address` who it is. It runs nothing.
  { Wire::MakeStatusQuery(backend, address) } -> std::same_as<RequestMessage>;
  { Wire::ReadStatement(status) } -> std::same_as<std::optional<ProcessStatement>>;
};

}  // namespace ridgehold
