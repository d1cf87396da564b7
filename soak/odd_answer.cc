#include "odd_answer.h"

#include <array>

#include "platform/names.h"

namespace ridgehold::soak {
namespace {

namespace field = platform::field;

constexpr std::array kNoStatuses = {"000", "001", "042", "099", "101", "600", "999", "20", "2000"};
constexpr std::array kOddFields = {"X-A: 1\r\n 2", " X-A: 1",        "X A: 1",           "X\tA: 1",
                                   "X\x01-A: 1",   "X\x7f-A: 1",     "X-A : 1",          "X-A",
                                   "X-A: 1\x02",   "X-A: 1\nX-B: 2", "Content-Length: 1"};
constexpr std::array kOddFramings = {"Transfer-Encoding: gzip",
                                     "Transfer-Encoding: identity",
                                     "Transfer-Encoding:",
                                     "Transfer-Encoding: chunked, identity",
                                     "Transfer-Encoding: gzip, chunked",
                                     "Transfer-Encoding: chunked\r\nContent-Length: 5",
                                     "Content-Length: +5"};
constexpr std::array kOddChunks = {"+5\r\nplain\r\n0\r\n\r\n", "0x5\r\nplain\r\n0\r\n\r\n",
                                   "4\r\nplain\r\n0\r\n\r\n", "5\r\nplain\r\n"};

template <class List>
std::string Pick(const List& list, Random& random) {
  return list[static_cast<std::size_t>(random.Between(0, static_cast<int>(list.size()) - 1))];
}

std::string HeadOf(const std::string& status, const std::string& id, const std::string& signature,
                   const std::string& fields) {
  return "HTTP/1.1 " + status + " Text\r\n" + field::kRequestId + ": " + id + "\r\n" +
         field::kSignature + ": " + signature + "\r\n" + fields + "\r\n\r\n";
}

std::string Whole(const std::string& id, const std::string& signature) {
  constexpr const char* kBody = "hidden";
  return HeadOf("200", id, signature, "Content-Length: 6") + kBody;
}

}  // namespace

std::string DrawOddAnswer(const std::string& id, const Run& run, Random& random) {
  enum Kind { kStatus, kEnclosing, kInterim, kField, kFraming, kChunks, kKinds };
  const std::string body = BodyOf(run.signature);
  const std::string length = "Content-Length: " + std::to_string(body.size());
  const std::string hidden = Whole(id, run.signature);
  const std::string hidden_length = "Content-Length: " + std::to_string(hidden.size());
  switch (random.Between(0, kKinds - 1)) {
    case kStatus:
      return HeadOf(Pick(kNoStatuses, random), id, run.signature, length) + body;
    case kEnclosing:
      return HeadOf(Pick(kNoStatuses, random), id, run.signature, hidden_length) + hidden;
    case kInterim:
      return "HTTP/1.1 199 Text\r\n" + hidden_length + "\r\n\r\n" + hidden;
    case kField:
      return HeadOf("200", id, run.signature, Pick(kOddFields, random) + "\r\n" + length) + body;
    case kFraming:
      return HeadOf("200", id, run.signature, Pick(kOddFramings, random)) + "plain";
    default:
      return HeadOf("200", id, run.signature, "Transfer-Encoding: chunked") +
             Pick(kOddChunks, random);
  }
}

}  // namespace ridgehold::soak
