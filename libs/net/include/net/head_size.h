// The memory that the parsed head of a message takes.

#pragma once

#include <cstddef>

#include "net/beast.h"

namespace ridgehold {

struct HeadSize {
  /// Far above the number of fields that clients and servers send.
  static constexpr std::size_t kMaxFields = 256;

  std::size_t fields = 0;
  std::size_t bytes = 0;  ///< approximately

  bool Excessive() const { return fields > kMaxFields; }
};

/// A field of a few bytes takes many times as much once it is parsed.
template <class Fields>
HeadSize MeasureHead(const Fields& head) {
  constexpr std::size_t kFieldOverhead = 64;
  HeadSize size;
  for (const auto& field : head) {
    ++size.fields;
    size.bytes += kFieldOverhead + field.name_string().size() + field.value().size();
  }
  return size;
}

}  // namespace ridgehold
