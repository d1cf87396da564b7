// Guards against ports whose connections together use up the process's descriptors.

#include "entry/descriptor_shares.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(descriptor_shares)

BOOST_AUTO_TEST_CASE(shares_leave_a_fifth_for_connections_to_backend_servers) {
  for (const std::size_t descriptors : {100U, 300U, 1'024U, 4'100U, 65'536U}) {
    const DescriptorShares shares = DescriptorShares::Of(descriptors);
    const std::size_t used =
        shares.callers + shares.readiness + shares.metrics + shares.peers + 2 * shares.tunnels;
    BOOST_TEST(used * 5 <= descriptors * 4);
    BOOST_TEST(shares.readiness >= 4U);
    BOOST_TEST(shares.callers >= descriptors / 2);
  }
}

BOOST_AUTO_TEST_SUITE_END()
