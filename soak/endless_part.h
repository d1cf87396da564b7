// Parts of a chunked body's framing that have no end.

#pragma once

#include <string>

#include "random.h"

namespace ridgehold::soak {

/// `begin`, and then `block` again and again.
struct EndlessPart {
  std::string begin;
  std::string block;

  /// The size of a chunk, its extension, a trailer line, or trailer lines.
  static EndlessPart Draw(Random& random);
};

}  // namespace ridgehold::soak
