#include "memory/memory_fit.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(memory_fit)

BOOST_AUTO_TEST_CASE(only_the_first_of_several_shared_parts_is_held_once) {
  BOOST_TEST(RequestMemory::Of({9'190, 9, 1, 6'300}).own == 9'200);
  BOOST_TEST(RequestMemory::Of({9'190, 9, 2, 1'000}).own == 9'200 - 992);
  BOOST_TEST(RequestMemory::Of({9'190, 9, 2, 1'000}).total == 9'200);
  // A malformed list of parts claims more tokens than the prompt has.
  BOOST_TEST(RequestMemory::Of({100, 9, 2, 4'000'000'000}).own == 16);
}

// The pattern: long prompts beside short streams. Bounded by slots alone, they exhaust the memory
// of an engine, which preempts running streams.
BOOST_AUTO_TEST_CASE(long_prompts_beside_streams_do_not_exhaust_the_memory) {
  constexpr std::uint32_t kFirstPart = 1'000;
  const MemoryFit prompt{RequestMemory::Of({9'190, 9, 2, kFirstPart}), 12, 71'780};
  const MemoryFit stream{RequestMemory::Of({826, 49, 1, 198}), 12, 71'780};
  std::uint64_t held = 0;
  std::uint32_t running = 0;
  int refused = 0;
  for (int arrival = 0; arrival < 24; ++arrival) {
    const MemoryFit& request = arrival % 4 == 0 ? stream : prompt;
    if (!request.Fits(held, running)) {
      ++refused;
      continue;
    }
    held += request.request.own;
    ++running;
  }
  BOOST_TEST(held + kFirstPart <= prompt.capacity);
  BOOST_TEST(running == 12);
  BOOST_TEST(refused == 12);
  BOOST_TEST(12 * prompt.request.own > prompt.capacity);
  BOOST_TEST(!stream.Fits(0, 12));
}

// A prompt above the usable fraction must not wait for room that no engine ever has.
BOOST_AUTO_TEST_CASE(prompt_of_nearly_the_whole_memory_fits_into_an_empty_engine) {
  const MemoryFit large{RequestMemory::Of({70'000, 9, 1, 0}), 12, 71'780};
  BOOST_TEST(large.Fits(0, 0));
  BOOST_TEST(!large.Fits(16, 1));
  const MemoryFit too_large{RequestMemory::Of({71'780, 9, 1, 0}), 12, 71'780};
  BOOST_TEST(!too_large.EverFits());
}

BOOST_AUTO_TEST_SUITE_END()
