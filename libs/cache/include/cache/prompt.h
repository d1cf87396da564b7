// The parts of an OpenAI-style request body that routing looks at.

#pragma once

#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result.h"

namespace ridgehold {

/// Read out of a body; the body itself is passed on untouched.
struct Prompt {
  ModelId model;
  bool stream = false;
  std::string text;            ///< all messages' text in order, or the prompt
  std::size_t max_tokens = 0;  ///< 0: not said
};

/// Reads a chat-completion or completion body. Fails with kMalformedRequest.
Result<Prompt> ParsePrompt(std::string_view body);

}  // namespace ridgehold
