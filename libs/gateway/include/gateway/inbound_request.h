// Decoded client request: identity, content and deadline.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace ridgehold {

/// The number of a model's weights; rises with each new version.
using WeightsNumber = Strong<struct WeightsNumberTag, std::uint64_t>;

/// A segment of a prompt, which several requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// Parameters of a text generation request.
struct GenerationRequest {
  ModelId model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::vector<PromptPart> parts;  ///< in order; the last one is specific to the request
};

/// The ids of the parts that other requests may share, in order.
std::vector<std::uint64_t> SharedPartIds(const GenerationRequest& request);

/// Decoded once, when the request is received.
struct InboundRequest {
  RequestId id;
  std::string host;                                     ///< lower case, without a port
  std::string path;                                     ///< without the query
  std::string key;                                      ///< empty if none was sent
  std::optional<std::chrono::milliseconds> time_limit;  ///< how long the client will wait
  std::optional<GenerationRequest> generation;
  std::optional<std::uint64_t> resume_after;  ///< the last event that the client has received
  /// The client's attempt that received the first event of the stream; empty if it named none.
  RequestId resumes;
  TimePoint received{};
};

}  // namespace ridgehold
