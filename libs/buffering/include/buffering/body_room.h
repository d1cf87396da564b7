// The room in memory that one body has.

#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace ridgehold {

class BodyGate;

/// Returns its bytes when it is destroyed.
class BodyRoom {
 public:
  /// Room for a body that is too small to be counted.
  BodyRoom() = default;
  BodyRoom(BodyRoom&& other) noexcept
      : gate_(std::move(other.gate_)), bytes_(std::exchange(other.bytes_, 0)) {}
  BodyRoom& operator=(BodyRoom&& other) noexcept {
    std::swap(gate_, other.gate_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~BodyRoom();

  /// Returns what the body has turned out not to need.
  void ShrinkTo(std::size_t bytes);

  std::size_t bytes() const { return bytes_; }

 private:
  friend class BodyGate;

  BodyRoom(std::shared_ptr<BodyGate> gate, std::size_t bytes)
      : gate_(std::move(gate)), bytes_(bytes) {}

  std::shared_ptr<BodyGate> gate_;
  std::size_t bytes_ = 0;
};

}  // namespace ridgehold
