#include "net/read_buffer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <stdexcept>
#include <vector>

using namespace ridgehold;

namespace {

/// Appends up to `bytes` in steps; returns what the buffer took.
std::size_t Fill(ReadBuffer& buffer, std::size_t bytes) {
  constexpr std::size_t kStep = 512;
  try {
    while (buffer.size() < bytes) {
      buffer.prepare(kStep);
      buffer.commit(kStep);
    }
  } catch (const std::length_error&) {
  }
  return buffer.size();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(read_buffer)

// Guards against a buffer that grows for as long as a peer sends bytes that can't be parsed.
BOOST_AUTO_TEST_CASE(buffer_takes_its_maximum_and_no_more) {
  net::io_context io;
  ReadBuffer buffer(io.get_executor(), 20'480);
  BOOST_TEST(Fill(buffer, 1'000'000) == 20'480U);
  BOOST_TEST(buffer.Full());
}

// Guards against many buffers that are small one by one and fill the memory together.
BOOST_AUTO_TEST_CASE(buffers_stay_within_the_budget_together) {
  constexpr std::size_t kCapacity = 1'000'000;
  net::io_context io;
  ReadBudget& budget = ReadBudget::Of(io.get_executor());
  budget.SetCapacity(kCapacity);
  std::vector<std::unique_ptr<ReadBuffer>> buffers;
  for (int i = 0; i < 100; ++i) {
    buffers.push_back(std::make_unique<ReadBuffer>(io.get_executor(), 65'536));
    Fill(*buffers.back(), 65'536);
    BOOST_TEST(budget.used() <= kCapacity + 100 * ReadBudget::kAlwaysGrantedBytes);
  }
  BOOST_TEST(budget.refused() > 0U);
  BOOST_TEST(!buffers.back()->Full());
}

BOOST_AUTO_TEST_CASE(small_buffers_are_granted_beside_a_used_up_budget) {
  net::io_context io;
  ReadBudget::Of(io.get_executor()).SetCapacity(0);
  ReadBuffer buffer(io.get_executor(), 65'536);
  BOOST_TEST(Fill(buffer, 4'096) == 4'096U);
}

BOOST_AUTO_TEST_CASE(destroyed_buffers_return_their_memory) {
  net::io_context io;
  const ReadBudget& budget = ReadBudget::Of(io.get_executor());
  {
    ReadBuffer buffer(io.get_executor(), 65'536);
    Fill(buffer, 10'000);
    BOOST_TEST(budget.used() >= 10'000U);
    buffer.consume(buffer.size());
    buffer.shrink_to_fit();
    BOOST_TEST(budget.used() == 0U);
    Fill(buffer, 10'000);
  }
  BOOST_TEST(budget.used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
