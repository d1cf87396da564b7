#include "cache/prompt.h"

#include <nlohmann/json.hpp>

namespace ridgehold {
namespace {

using nlohmann::json;

/// Message shapes we do not know still count for the prefix, as their JSON.
std::string TextOf(const json& content) {
  if (content.is_string()) return content.get<std::string>();
  if (content.is_null()) return "";
  return content.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string TextOfMessages(const json& messages) {
  std::string text;
  for (const json& message : messages) {
    if (!message.is_object()) continue;
    text += message.value("role", "") + "\n";
    if (message.contains("content")) text += TextOf(message["content"]);
    text += "\n";
  }
  return text;
}

std::size_t MaxTokens(const json& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto found = body.find(name);
    if (found != body.end() && found->is_number_unsigned()) return found->get<std::size_t>();
  }
  return 0;
}

Result<Prompt> Read(const json& body) {
  Prompt prompt;
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Fail(ResultCode::kMalformedRequest, "model is missing or not a string");
  }
  prompt.model = ModelId(model->get<std::string>());
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null() && !stream->is_boolean()) {
    return Fail(ResultCode::kMalformedRequest, "stream is not a boolean");
  }
  prompt.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
  prompt.max_tokens = MaxTokens(body);
  const auto messages = body.find("messages");
  if (messages != body.end() && messages->is_array()) {
    prompt.text = TextOfMessages(*messages);
  } else if (body.contains("prompt")) {
    prompt.text = TextOf(body["prompt"]);
  } else {
    return Fail(ResultCode::kMalformedRequest, "neither messages nor prompt is there");
  }
  return prompt;
}

}  // namespace

Result<Prompt> ParsePrompt(std::string_view body) {
  try {
    const json parsed = json::parse(body);
    if (!parsed.is_object()) return Fail(ResultCode::kMalformedRequest, "the body is no object");
    return Read(parsed);
  } catch (const json::exception& error) {
    return Fail(ResultCode::kMalformedRequest, error.what());
  }
}

}  // namespace ridgehold
