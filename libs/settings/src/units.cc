#include "settings/units.h"

#include <charconv>
#include <limits>
#include <span>

namespace ridgehold {
namespace {

struct Unit {
  std::string_view suffix;
  std::uint64_t factor;
};

constexpr Unit kTimeUnits[] = {{"ms", 1}, {"s", 1'000}, {"min", 60'000}};
constexpr Unit kSizeUnits[] = {{"B", 1}, {"KiB", 1U << 10}, {"MiB", 1U << 20}, {"GiB", 1U << 30}};

std::optional<std::uint64_t> ParseWithUnit(std::string_view text, std::span<const Unit> units) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{}) return std::nullopt;
  const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const Unit& unit : units) {
    if (unit.suffix != suffix) continue;
    if (number > std::numeric_limits<std::int64_t>::max() / unit.factor) return std::nullopt;
    return number * unit.factor;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::uint64_t> ParseCount(std::string_view text) {
  constexpr Unit kNone[] = {{"", 1}};
  return ParseWithUnit(text, kNone);
}

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  const auto ms = ParseWithUnit(text, kTimeUnits);
  if (!ms) return std::nullopt;
  return std::chrono::milliseconds(*ms);
}

std::optional<std::uint64_t> ParseBytes(std::string_view text) {
  return ParseWithUnit(text, kSizeUnits);
}

}  // namespace ridgehold
