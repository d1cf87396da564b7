// HTTP header fields, names compared without case.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ridgehold {

/// One header field.
struct HeaderField {
  std::string name;
  std::string value;
};

/// Returns whether two header names are equal, without case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// Header fields in the order they were added.
class Headers {
 public:
  Headers() = default;
  Headers(std::initializer_list<HeaderField> fields) : fields_(fields) {}

  /// Adds a field; an earlier one of the same name stays.
  void Add(std::string name, std::string value);

  /// Returns the first field's value, or nothing.
  std::optional<std::string> Find(std::string_view name) const;

  /// Returns the first field's value, or an empty string.
  std::string Get(std::string_view name) const;

  const std::vector<HeaderField>& fields() const { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

}  // namespace ridgehold
