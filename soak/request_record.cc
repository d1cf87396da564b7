#include "request_record.h"

#include <functional>

namespace ridgehold::soak {
namespace {

constexpr std::size_t kLeastEvents = 3;
constexpr std::size_t kEventSpread = 8;
constexpr std::size_t kBodySpread = 30'000;  // bytes; more than one read's worth

}  // namespace

int EventCount(const std::string& id) {
  return static_cast<int>(kLeastEvents + std::hash<std::string>()(id) % kEventSpread);
}

std::string BodyOf(const std::string& signature) {
  const std::size_t hash = std::hash<std::string>()(signature);
  return signature + std::string(hash % kBodySpread, static_cast<char>('a' + hash % 26));
}

std::string EventOf(const std::string& id, const std::string& signature, int number) {
  const std::string last = number == EventCount(id) ? "end" : "more";
  return "id: " + std::to_string(number) + "\ndata: " + signature + " " + last + "\n\n";
}

}  // namespace ridgehold::soak
