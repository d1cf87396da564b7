#include "odd_entries.h"

#include <array>
#include <vector>

namespace ridgehold::soak {
namespace {

constexpr int kMostDepth = 200'000;

std::string Nested(Random& random) {
  const auto depth = static_cast<std::size_t>(random.Between(100, kMostDepth));
  const std::string open(depth, '[');
  return random.Chance(0.8) ? open + std::string(depth, ']') : open;
}

std::string OddNumber(Random& random) {
  static const std::vector<std::string> numbers = {"1e999",
                                                   "-1e999",
                                                   "1e308",
                                                   "-1",
                                                   "-0",
                                                   "0.5",
                                                   "18446744073709551616",
                                                   "18446744073709551615",
                                                   "9223372036854775807",
                                                   "-9223372036854775808",
                                                   std::string(400, '9'),
                                                   "4294967296"};
  return numbers[static_cast<std::size_t>(random.Between(0, static_cast<int>(numbers.size()) - 1))];
}

std::string OddText(Random& random) {
  static const std::vector<std::string> texts = {R"("")",
                                                 "\"\xff\xfe\xc0\x80\"",
                                                 R"("\u0000")",
                                                 R"("\ud800")",
                                                 "\"" + std::string(60'000, 'x') + "\"",
                                                 R"("\r\nInjected: 1\r\n\r\n")"};
  return texts[static_cast<std::size_t>(random.Between(0, static_cast<int>(texts.size()) - 1))];
}

std::string OddAddress(Random& random) {
  static const std::vector<std::string> addresses = {
      R"("127.0.0.1:99999")", R"("127.0.0.1:-1")", R"("127.0.0.1:0")",     R"("127.0.0.1")",
      R"("127.0.0.1:")",      R"(":1")",           R"("[::1]:65536")",     R"("999.1.1.1:80")",
      R"("127.0.0.1:1x")",    R"("host name:80")", R"("127.0.0.1:65535")", R"("0.0.0.0:1")"};
  return addresses[static_cast<std::size_t>(
      random.Between(0, static_cast<int>(addresses.size()) - 1))];
}

std::string OddValue(Random& random) {
  switch (random.Between(0, 6)) {
    case 0:
      return Nested(random);
    case 1:
      return OddNumber(random);
    case 2:
      return OddText(random);
    case 3:
      return OddAddress(random);
    case 4:
      return "null";
    case 5:
      return "{}";
    default:
      return R"([{"name":7},null,[],"m"])";
  }
}

}  // namespace

std::string DrawOddEntry(Random& random) {
  std::vector<std::pair<std::string, std::string>> fields = {
      {"service", R"("llm")"},
      {"addr", R"("127.0.0.1:1")"},
      {"zone", R"("a")"},
      {"version", R"("v1")"},
      {"slots", "8"},
      {"state", R"("ready")"},
      {"cold_left_ms", "0"},
      {"models", R"([{"name":"m","version":1,"adapters":[]}])"},
      {"seq", "0"},
      {"born", "1"},
      {"unknown", "1"}};
  const int odd = random.Between(1, 3);
  for (int i = 0; i < odd; ++i) {
    const auto at =
        static_cast<std::size_t>(random.Between(0, static_cast<int>(fields.size()) - 1));
    fields[at].second = fields[at].first == "addr" ? OddAddress(random) : OddValue(random);
  }
  std::string entry;
  for (const auto& [name, value] : fields) {
    entry.append(entry.empty() ? "{\"" : ",\"").append(name).append("\":").append(value);
  }
  entry += "}";
  if (random.Chance(0.1)) return OddValue(random);
  if (random.Chance(0.2)) {
    entry.resize(static_cast<std::size_t>(random.Between(0, static_cast<int>(entry.size()) - 1)));
  }
  return entry;
}

}  // namespace ridgehold::soak
