// What the Transfer-Encoding fields of a message say (RFC 9112, section 6.1).

#pragma once

#include <cstdint>

#include "net/beast.h"

namespace ridgehold {

enum class TransferCoding : std::uint8_t {
  kNone,         ///< there is no such field
  kChunked,      ///< `chunked` alone
  kCodedChunks,  ///< `chunked` after other codings
  kUndelimited,  ///< anything else: the end of the body cannot be determined
};

/// Reads all Transfer-Encoding fields as one list. Empty elements of the list are ignored, as RFC
/// 9110, section 5.6.1, asks. Codings have no parameters.
TransferCoding TransferCodingOf(const http::fields& fields);

}  // namespace ridgehold
