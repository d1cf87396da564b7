#include "net/deflate.h"

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include "net/beast.h"

namespace ridgehold {
namespace {

namespace zlib = boost::beast::zlib;

// The fastest level; registrations of backend servers shrink to a ninth at any level.
constexpr int kLevel = 1;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kChunkBytes = 64 << 10;

}  // namespace

std::string Deflate(std::string_view bytes) {
  zlib::deflate_stream deflater;
  deflater.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string stream(deflater.upper_bound(bytes.size()), '\0');
  zlib::z_params params;
  params.next_in = bytes.data();
  params.avail_in = bytes.size();
  params.next_out = stream.data();
  params.avail_out = stream.size();
  ErrorCode error;
  deflater.write(params, zlib::Flush::finish, error);
  stream.resize(params.total_out);
  return stream;
}

std::optional<std::string> Inflate(std::string_view stream, std::size_t max_bytes) {
  zlib::inflate_stream inflater;
  inflater.reset(kWindowBits);
  std::string bytes;
  zlib::z_params params;
  params.next_in = stream.data();
  params.avail_in = stream.size();
  ErrorCode error;
  while (!error) {
    const std::size_t done = bytes.size();
    if (done > max_bytes) return std::nullopt;
    bytes.resize(done + std::min(kChunkBytes, max_bytes + 1 - done));
    params.next_out = bytes.data() + done;
    params.avail_out = bytes.size() - done;
    inflater.write(params, zlib::Flush::sync, error);
    bytes.resize(bytes.size() - params.avail_out);
  }
  const bool complete = error == zlib::error::end_of_stream && bytes.size() <= max_bytes;
  return complete ? std::optional(std::move(bytes)) : std::nullopt;
}

}  // namespace ridgehold
