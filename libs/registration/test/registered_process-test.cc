#include "registration/registered_process.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

namespace {

RegisteredProcess Make(std::uint64_t started, std::uint64_t registered,
                       std::uint64_t answered = 0) {
  return {StartStamp(started), RegistrationNumber(registered), RegistrationNumber(answered)};
}

bool Replaced(const RegisteredProcess& process, const RegisteredProcess& other) {
  return IsReplacedBy(process, other) && !IsReplacedBy(other, process);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(registered_process)

BOOST_AUTO_TEST_CASE(later_start_replaces_an_earlier_one_in_any_order_of_registration) {
  BOOST_TEST(Replaced(Make(5, 1), Make(6, 2)));
  BOOST_TEST(Replaced(Make(5, 2), Make(6, 1)));
  BOOST_TEST(Replaced(Make(5, 1), Make(6, 1)));
}

BOOST_AUTO_TEST_CASE(later_registration_replaces_an_earlier_one_if_a_start_is_not_known) {
  BOOST_TEST(Replaced(Make(0, 1), Make(0, 2)));
  BOOST_TEST(Replaced(Make(9, 1), Make(0, 2)));
  BOOST_TEST(Replaced(Make(9, 1), Make(9, 2)));
}

BOOST_AUTO_TEST_CASE(order_within_one_listing_is_not_known_without_starts) {
  BOOST_TEST(!IsReplacedBy(Make(0, 1), Make(0, 1)));
  BOOST_TEST(!IsReplacedBy(Make(9, 1), Make(9, 1)));
}

// Guards against a server that gets no requests for as long as a late registration of an ended
// process stands, or one whose clock was ahead.
BOOST_AUTO_TEST_CASE(process_that_answers_replaces_the_others) {
  BOOST_TEST(Replaced(Make(0, 2), Make(0, 1, 2)));
  BOOST_TEST(Replaced(Make(9, 1), Make(5, 1, 1)));
}

BOOST_AUTO_TEST_CASE(answer_before_a_registration_says_nothing_of_it) {
  BOOST_TEST(Replaced(Make(5, 1, 1), Make(6, 2)));
  BOOST_TEST(Replaced(Make(0, 1, 1), Make(0, 2)));
}

RC_BOOST_PROP(never_both_of_two_are_replaced, ()) {
  const auto draw = [] {
    const auto registered = *rc::gen::inRange<std::uint64_t>(1, 4);
    return Make(*rc::gen::inRange<std::uint64_t>(0, 3), registered,
                *rc::gen::element<std::uint64_t>(0, registered, registered + 1));
  };
  const RegisteredProcess one = draw();
  const RegisteredProcess other = draw();
  RC_ASSERT(!(IsReplacedBy(one, other) && IsReplacedBy(other, one)));
}

BOOST_AUTO_TEST_SUITE_END()
