// An INI file's entries with their line numbers (read by inih).

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

/// All entries of a file, in order.
struct IniDocument {
  std::vector<IniEntry> entries;
  int first_bad_line = 0;  ///< 0: every line could be read

  static IniDocument Parse(std::string_view text);
};

}  // namespace ridgehold
