// Guards against messages whose Transfer-Encoding is read as something else than chunked alone, and
// whose body is then not delimited where the sender means it.

#include "net/transfer_coding.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "net/request_framing.h"

using namespace ridgehold;

namespace {

const std::vector<std::string> kCodings = {
    "chunked", "Chunked", "gzip",      "identity",    "xchunked", "chunkedx", "chunked;q=1",
    "",        " ",       "chunked x", "\"chunked\"", "\t",       "deflate",  "chunked\x01"};

struct Lines {
  std::vector<std::vector<std::string>> lists;  ///< the elements of each field

  http::fields Fields() const {
    http::fields fields;
    for (const auto& list : lists) {
      std::string value;
      for (const std::string& element : list) value += (value.empty() ? "" : ",") + element;
      fields.insert(http::field::transfer_encoding, value);
    }
    return fields;
  }

  /// Those elements that are not empty.
  std::vector<std::string> Codings() const {
    std::vector<std::string> codings;
    for (const auto& list : lists) {
      for (const std::string& element : list) {
        if (element.find_first_not_of(" \t") != std::string::npos) codings.push_back(element);
      }
    }
    return codings;
  }
};

Lines DrawLines() {
  Lines lines;
  const auto list = rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(kCodings));
  lines.lists = *rc::gen::container<std::vector<std::vector<std::string>>>(list);
  return lines;
}

bool IsChunked(const std::string& coding) { return coding == "chunked" || coding == "Chunked"; }

}  // namespace

BOOST_AUTO_TEST_SUITE(transfer_coding)

RC_BOOST_PROP(only_chunked_alone_is_chunked, ()) {
  const Lines lines = DrawLines();
  const std::vector<std::string> codings = lines.Codings();
  const TransferCoding coding = TransferCodingOf(lines.Fields());
  const auto chunks = std::ranges::count_if(codings, IsChunked);
  const bool ends_with_chunks = chunks == 1 && IsChunked(codings.back());
  RC_ASSERT((coding == TransferCoding::kNone) == lines.lists.empty());
  RC_ASSERT((coding == TransferCoding::kChunked) == (ends_with_chunks && codings.size() == 1));
  RC_ASSERT((coding == TransferCoding::kCodedChunks) == (ends_with_chunks && codings.size() > 1));
}

// The parser decides how the body is read, so both have to agree.
RC_BOOST_PROP(request_is_taken_only_if_the_parser_decodes_its_chunks, ()) {
  const Lines lines = DrawLines();
  http::request_parser<http::string_body> parser;
  std::string text = "POST / HTTP/1.1\r\n";
  for (const auto& field : lines.Fields()) {
    text += "Transfer-Encoding: " + std::string(field.value()) + "\r\n";
  }
  text += "\r\n";
  ErrorCode error;
  parser.put(net::buffer(text), error);
  if (error) return;
  const bool taken = !FramingFailure(parser.get(), parser.chunked());
  RC_ASSERT(taken == (lines.lists.empty() || parser.chunked()) || !taken);
  if (taken && !lines.lists.empty()) RC_ASSERT(parser.chunked());
  RC_ASSERT(parser.is_done() == !parser.chunked());
}

BOOST_AUTO_TEST_SUITE_END()
