// Entry point of a test program.

#define BOOST_TEST_MODULE ridgehold
#include <boost/test/unit_test.hpp>
