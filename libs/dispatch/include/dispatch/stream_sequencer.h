// Decides which frames of an engine's stream reach the caller: each offset once, in order.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "sse/sse.h"

namespace ridgehold {

/// Who a frame claims to come from, and its place in the answer. Written in
/// the event's id as `REQUEST INCARNATION WEIGHTS OFFSET`.
struct FrameId {
  RequestId request;
  Incarnation incarnation;
  WeightsVersion weights;
  std::uint64_t offset = 0;

  /// Returns nothing when `text` is not a frame id.
  static std::optional<FrameId> Parse(std::string_view text);
};

/// What an answer must be: identity of the request and of who runs it.
struct AnswerIdentity {
  RequestId request;
  Incarnation incarnation;  ///< empty until the answer's head told it
  WeightsVersion weights;
};

/// What to do with a frame.
enum class FrameVerdict : std::uint8_t {
  kPass,       ///< send it to the caller
  kDuplicate,  ///< was passed before; drop it
  kGap,        ///< frames before it are missing: the stream is broken
  kForeign,    ///< of another request, incarnation or weights: the stream is broken
};

/// Lives as long as the answer, over all attempts. Not thread-safe.
class StreamSequencer {
 public:
  static constexpr std::string_view kEndOfAnswer = "[DONE]";

  /// A new attempt begins; its frames must carry this identity, and the first
  /// of them the very next offset: an engine that starts over may have sampled
  /// another answer, and half of that must not follow half of this one.
  void StartAttempt(AnswerIdentity identity) {
    identity_ = std::move(identity);
    first_of_attempt_ = true;
  }

  /// Judges a frame. Frames that pass move the offset on.
  FrameVerdict Take(const SseEvent& event);

  /// The offset of the next frame to pass; where a resumed stream begins.
  std::uint64_t next_offset() const { return next_offset_; }

  /// Whether the engine's own end of the answer has passed.
  bool ended() const { return ended_; }

 private:
  AnswerIdentity identity_;
  std::uint64_t next_offset_ = 0;
  bool first_of_attempt_ = false;
  bool ended_ = false;
};

}  // namespace ridgehold
