// Whether the end of a request's body can be determined.

#pragma once

#include <optional>

#include "base/result.h"
#include "net/beast.h"

namespace ridgehold {

/// Returns why a request must be refused and its connection closed, from its head alone; nullopt if
/// its body has a length, is in chunks, or does not exist (RFC 9112, section 6.3). Every reader of
/// requests has to ask: Beast takes a request whose Transfer-Encoding it does not know for one
/// without a body, and the body for the next request. `parsed_as_chunked` tells whether the parser
/// will decode chunks. The codes are kMalformedRequest and kUnsupportedCoding.
std::optional<Failure> FramingFailure(const http::request_header<>& head, bool parsed_as_chunked);

}  // namespace ridgehold
