// Bounds the memory that many buffers take together.

#pragma once

#include <cstddef>

namespace ridgehold {

/// Each buffer may grow to as much as all buffers together then leave free. A few that grow without
/// end thus leave room for the others, which mostly are small: with n of them, 1/(n+1) of the
/// capacity. Not thread-safe.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t capacity) : capacity_(capacity) {}

  /// The bytes of one buffer, which are returned when it is destroyed. Must not outlive the budget.
  class Share {
   public:
    explicit Share(ByteBudget& budget) : budget_(budget) {}
    ~Share() { budget_.used_ -= bytes_; }

    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Sets the size of the buffer in bytes. Returns false, and changes nothing, if it may not grow
    /// to that.
    bool Resize(std::size_t bytes) {
      const std::size_t others = budget_.used_ - bytes_;
      const bool fits = bytes <= budget_.capacity_ && others <= budget_.capacity_ - bytes &&
                        bytes <= budget_.capacity_ - bytes - others;
      if (bytes > bytes_ && !fits) return false;
      budget_.used_ = others + bytes;
      bytes_ = bytes;
      return true;
    }

   private:
    ByteBudget& budget_;
    std::size_t bytes_ = 0;
  };

  std::size_t used() const { return used_; }

 private:
  std::size_t capacity_;
  std::size_t used_ = 0;
};

}  // namespace ridgehold
