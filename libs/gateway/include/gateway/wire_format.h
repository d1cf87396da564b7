// The concept that joins the gateway to a particular spelling of requests and answers.

#pragma once

#include <concepts>

#include "base/result.h"
#include "gateway/attempt_messages.h"
#include "gateway/inbound_request.h"
#include "net/beast.h"

namespace ridgehold {

/// Header fields of a request, without its body.
using RequestHead = http::request_header<>;

/// Decodes what callers and backend servers send, and encodes what they are
/// sent. Stateless; decides nothing.
template <class Wire>
concept WireFormat = requires(const RequestHead& request_head, const RequestMessage& request,
                              const ResponseHead& answer_head, const AttemptDirectives& directives,
                              TimePoint now) {
  /// Fails with kMalformedRequest.
  { Wire::ReadRequest(request_head, now) } -> std::same_as<Result<InboundRequest>>;
  /// The caller's request as one backend server gets it.
  { Wire::MakeAttempt(request, directives) } -> std::same_as<RequestMessage>;
  { Wire::ReadAnswerHead(answer_head) } -> std::same_as<AnswerHead>;
  /// The fields of a backend server's answer that are passed on to the caller.
  { Wire::MakeCallerHead(answer_head) } -> std::same_as<ResponseHead>;
};

}  // namespace ridgehold
