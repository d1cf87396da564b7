#include "groups/request_group.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(request_group)

// A prompt that fills a pause must not be placed beside streams, whatever part of it is cached.
BOOST_AUTO_TEST_CASE(prompts_over_a_fifth_of_the_pause_are_bulk) {
  BOOST_TEST((Classify(4'000, 100, 200ms) == RequestGroup::kInteractive));
  BOOST_TEST((Classify(4'001, 100, 200ms) == RequestGroup::kBulk));
  BOOST_TEST((Classify(4'001, 200, 200ms) == RequestGroup::kInteractive));
}

BOOST_AUTO_TEST_SUITE_END()
