#include "net/request_framing.h"

#include "net/transfer_coding.h"

namespace ridgehold {

std::optional<Failure> FramingFailure(const http::request_header<>& head, bool parsed_as_chunked) {
  constexpr unsigned kHttp11 = 11;
  const TransferCoding coding = TransferCodingOf(head);
  if (coding == TransferCoding::kNone) return std::nullopt;
  if (head.version() < kHttp11) {
    return Failure{ResultCode::kMalformedRequest, "Transfer-Encoding in a request of HTTP/1.0"};
  }
  if (coding == TransferCoding::kCodedChunks) {
    return Failure{ResultCode::kUnsupportedCoding, "Transfer-Encoding other than chunked"};
  }
  if (coding == TransferCoding::kChunked && parsed_as_chunked) return std::nullopt;
  return Failure{ResultCode::kMalformedRequest, "Transfer-Encoding does not end with chunked"};
}

}  // namespace ridgehold
