#include "http/headers.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace ridgehold {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

void Headers::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

std::optional<std::string> Headers::Find(std::string_view name) const {
  const auto found = std::ranges::find_if(
      fields_, [&](const HeaderField& field) { return SameHeaderName(field.name, name); });
  if (found == fields_.end()) return std::nullopt;
  return found->value;
}

std::string Headers::Get(std::string_view name) const { return Find(name).value_or(""); }

}  // namespace ridgehold
