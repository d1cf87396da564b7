// Entries of an INI file with their line numbers (parsed by inih).

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ridgehold {

/// One `key = value` line.
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

/// All entries of a file, in file order.
struct IniDocument {
  std::vector<IniEntry> entries;
  int first_bad_line = 0;  ///< first malformed or overlong line; 0: none

  static IniDocument Parse(std::string_view text);
};

}  // namespace ridgehold
