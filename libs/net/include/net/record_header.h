// Length prefix of the records in which a tunnel carries a server's bytes.

#pragma once

#include <array>
#include <boost/endian/conversion.hpp>
#include <cstddef>
#include <cstdint>

namespace ridgehold {

/// The record's length in bytes, in network byte order. A record without bytes is the final one.
using RecordHeader = std::array<unsigned char, 4>;

inline constexpr std::size_t kFinalRecordLength = 0;
inline constexpr std::size_t kMaxRecordBytes = std::size_t{1} << 20;

/// `length` is at most kMaxRecordBytes.
inline RecordHeader EncodeRecordHeader(std::size_t length) {
  RecordHeader header;
  boost::endian::store_big_u32(header.data(), static_cast<std::uint32_t>(length));
  return header;
}

/// The result may exceed kMaxRecordBytes if the bytes are not a header.
inline std::size_t DecodeRecordHeader(const RecordHeader& header) {
  return boost::endian::load_big_u32(header.data());
}

}  // namespace ridgehold
