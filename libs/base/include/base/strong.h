// Strong typedefs: ids and quantities that cannot be mixed up.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ridgehold {

/// Wraps a `Rep`. Types with different tags do not convert to each other or to `Rep`.
///
///     using Tokens = Strong<struct TokensTag, std::uint64_t>;
template <class Tag, class Rep>
class Strong {
 public:
  Strong() = default;
  explicit Strong(Rep value) : value_(std::move(value)) {}

  const Rep& value() const { return value_; }

  friend auto operator<=>(const Strong&, const Strong&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Strong& strong) {
    return out << strong.value_;
  }

 private:
  Rep value_{};
};

}  // namespace ridgehold

template <class Tag, class Rep>
struct std::hash<ridgehold::Strong<Tag, Rep>> {
  std::size_t operator()(const ridgehold::Strong<Tag, Rep>& strong) const {
    return std::hash<Rep>{}(strong.value());
  }
};
