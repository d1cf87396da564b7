// Base64, as etcd's JSON gateway carries keys and values.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ridgehold {

std::string Base64Encode(std::string_view bytes);

/// Returns nothing when `text` is not base64.
std::optional<std::string> Base64Decode(std::string_view text);

}  // namespace ridgehold
