// Base64, the encoding of keys and values in etcd's JSON gateway.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ridgehold {

std::string Base64Encode(std::string_view bytes);

/// Returns nullopt if `text` is not valid base64.
std::optional<std::string> Base64Decode(std::string_view text);

}  // namespace ridgehold
