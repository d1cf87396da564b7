#include "settings/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace ridgehold {
namespace {

/// State shared by inih's callbacks. inih does not report line numbers, so `ReadLine` counts
/// the lines that it returns.
struct Cursor {
  std::string_view rest;
  int line = 0;
  int overlong_line = 0;
  IniDocument document;
};

char* ReadLine(char* buffer, int size, void* stream) {
  auto* cursor = static_cast<Cursor*>(stream);
  if (cursor->rest.empty()) return nullptr;
  ++cursor->line;
  const std::size_t newline = cursor->rest.find('\n');
  const std::size_t whole = newline == std::string_view::npos ? cursor->rest.size() : newline + 1;
  const std::size_t fits = std::min(whole, static_cast<std::size_t>(size - 1));
  if (fits < whole && cursor->overlong_line == 0) cursor->overlong_line = cursor->line;
  std::memcpy(buffer, cursor->rest.data(), fits);
  buffer[fits] = '\0';
  cursor->rest.remove_prefix(whole);
  return buffer;
}

int AddEntry(void* user, const char* section, const char* name, const char* value) {
  constexpr int kHandled = 1;
  auto* cursor = static_cast<Cursor*>(user);
  cursor->document.entries.push_back({section, name, value != nullptr ? value : "", cursor->line});
  return kHandled;
}

}  // namespace

IniDocument IniDocument::Parse(std::string_view text) {
  Cursor cursor;
  cursor.rest = text;
  const int bad_line = ini_parse_stream(&ReadLine, &cursor, &AddEntry, &cursor);
  cursor.document.first_bad_line = bad_line != 0 ? bad_line : cursor.overlong_line;
  return std::move(cursor.document);
}

}  // namespace ridgehold
