// Compression of messages between instances.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ridgehold {

/// Compresses `bytes` as a zlib stream.
std::string Deflate(std::string_view bytes);

/// Returns the original bytes, or nullopt if the stream is malformed, incomplete, or longer than
/// `max_bytes` when decompressed.
std::optional<std::string> Inflate(std::string_view stream, std::size_t max_bytes);

}  // namespace ridgehold
