// A backend server that sends exactly what a test tells it, byte by byte, and hangs up.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ridgehold::test {

/// What it read of one request, for making an answer.
struct RawRequest {
  std::string text;  ///< head and body

  /// A header's value, by its name in the very case it was sent in.
  std::string Header(const std::string& name) const;
};

/// Answers each connection's first request with what `answer` returns, and
/// then closes the connection; an empty answer is a cut before any byte.
class ScriptedBackend {
 public:
  using Answer = std::function<std::string(const RawRequest&)>;

  explicit ScriptedBackend(Answer answer);
  ~ScriptedBackend();

  std::string url() const;

  /// Requests read whole so far.
  int requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// The head of a streamed answer that matches the request, as an adapted
/// engine with this incarnation and weights `w1` sends it.
std::string StreamHead(const RawRequest& request, const std::string& incarnation = "scripted");

/// One frame of that answer.
std::string StreamFrame(const RawRequest& request, int offset, const std::string& data,
                        const std::string& incarnation = "scripted");

/// A token chunk's JSON.
std::string TokenData(const std::string& text);

}  // namespace ridgehold::test
