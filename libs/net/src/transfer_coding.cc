#include "net/transfer_coding.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <string_view>
#include <vector>

namespace ridgehold {
namespace {

constexpr std::string_view kBlanks = " \t";

std::string_view Trimmed(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool IsChunked(std::string_view coding) {
  return boost::beast::iequals({coding.data(), coding.size()}, "chunked");
}

}  // namespace

TransferCoding TransferCodingOf(const http::fields& fields) {
  const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
  if (first == last) return TransferCoding::kNone;
  std::vector<std::string_view> codings;
  for (auto field = first; field != last; ++field) {
    std::string_view list(field->value().data(), field->value().size());
    while (!list.empty()) {
      const std::size_t end = std::min(list.find(','), list.size());
      const std::string_view coding = Trimmed(list.substr(0, end));
      if (!coding.empty()) codings.push_back(coding);
      list.remove_prefix(std::min(end + 1, list.size()));
    }
  }
  const auto chunked = std::ranges::find_if(codings, IsChunked);
  if (chunked == codings.end() || chunked + 1 != codings.end()) return TransferCoding::kUndelimited;
  return codings.size() == 1 ? TransferCoding::kChunked : TransferCoding::kCodedChunks;
}

}  // namespace ridgehold
