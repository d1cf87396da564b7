// The operator language's grammar (Boost.Spirit X3). docs/OPERATIONS.md shows it by example.

#pragma once

#include <string_view>
#include <vector>

#include "base/result.h"
#include "oplang/statement.h"

namespace ridgehold {

/// Reads statements, one a line or parted by `;`. `#` opens a comment. A
/// failure is kSyntax and names line and column.
Result<std::vector<Statement>> ParseScript(std::string_view text);

/// Reads exactly one statement.
Result<Statement> ParseStatement(std::string_view text);

}  // namespace ridgehold
