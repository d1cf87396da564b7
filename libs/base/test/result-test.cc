#include "base/result.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

namespace {

Result<int> Broken() { return Fail(ResultCode::kBackendBroken, "inner"); }

Result<int> Mapped() {
  return MapFailure(
      [] { return Broken(); },
      [](const Failure& failure) {
        return Failure{ResultCode::kPlatformUnavailable, "outer of " + failure.detail};
      });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(result)

BOOST_AUTO_TEST_CASE(a_mapped_failure_reaches_the_handler_with_code_and_detail) {
  const auto failure = FailureOf([] { return Mapped(); });
  BOOST_TEST((failure->code == ResultCode::kPlatformUnavailable));
  BOOST_TEST(failure->detail == "outer of inner");
}

BOOST_AUTO_TEST_CASE(a_failure_can_be_mapped_twice) {
  const auto failure = FailureOf([] {
    return MapFailure([] { return Mapped(); },
                      [](const Failure& inner) {
                        return Failure{ResultCode::kOverloaded, inner.detail};
                      });
  });
  BOOST_TEST((failure->code == ResultCode::kOverloaded));
  BOOST_TEST(failure->detail == "outer of inner");
}

BOOST_AUTO_TEST_CASE(a_value_passes_through) {
  const auto pass = [] {
    return MapFailure([]() -> Result<int> { return 3; }, [](const Failure& f) { return f; });
  };
  BOOST_TEST(ValueOr(pass, [](const Failure&) { return 0; }) == 3);
}

BOOST_AUTO_TEST_SUITE_END()
