#include "base/result_code.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(result_code)

BOOST_AUTO_TEST_CASE(numbers_and_names_are_unique) {
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    BOOST_TEST(numbers.insert(static_cast<int>(info.code)).second);
    BOOST_TEST(names.insert(info.name).second);
  }
}

BOOST_AUTO_TEST_CASE(documented_table_matches_the_code) {
  std::ifstream file(RIDGEHOLD_SOURCE_DIR "/docs/RESULT-CODES.md");
  std::ostringstream page;
  page << file.rdbuf();
  std::size_t rows = 0;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    const std::string row =
        "| " + std::to_string(static_cast<int>(info.code)) + " | " + std::string(info.name) +
        " | " + std::to_string(info.http_status) + " | " + std::string(ToString(info.execution)) +
        " | " + std::string(ToString(info.retry)) + " | " + std::string(info.explanation) + " |\n";
    BOOST_TEST(page.str().find(row) != std::string::npos, "missing row: " << row);
    ++rows;
  }
  std::size_t documented = 0;
  std::istringstream lines(page.str());
  for (std::string line; std::getline(lines, line);) {
    if (line.size() > 2 && line.starts_with("| ") && std::isdigit(line[2]) != 0) ++documented;
  }
  BOOST_TEST(documented == rows);
}

BOOST_AUTO_TEST_SUITE_END()
