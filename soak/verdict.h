// The first promise that was broken.

#pragma once

#include <optional>
#include <string>

namespace ridgehold::soak {

struct Violation {
  std::string promise;
  std::string request;  ///< id of the request, or what else it concerns
  std::string detail;
};

/// Keeps the first violation; what follows may only be its consequence.
class Verdict {
 public:
  void Fail(std::string promise, std::string request, std::string detail) {
    if (!first_) first_ = Violation{std::move(promise), std::move(request), std::move(detail)};
  }
  const std::optional<Violation>& first() const { return first_; }

 private:
  std::optional<Violation> first_;
};

}  // namespace ridgehold::soak
