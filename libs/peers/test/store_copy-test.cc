#include "peers/store_copy.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "net/deflate.h"

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(store_copy)

BOOST_AUTO_TEST_CASE(request_survives_its_query) {
  const StoreCopyRequest request{StoreRevision(7), 400ms, 35ms, true, true};
  const StoreCopyRequest read = StoreCopyRequest::FromQuery(request.ToQuery());
  BOOST_TEST((read.revision == request.revision));
  BOOST_TEST((read.wait == request.wait));
  BOOST_TEST((read.age == request.age));
  BOOST_TEST(read.accepts_deflate);
  BOOST_TEST(read.accepts_deflated_changes);
  const StoreCopyRequest minimal = StoreCopyRequest::FromQuery("12");
  BOOST_TEST((minimal.revision == StoreRevision(12)));
  BOOST_TEST((minimal.wait == 0ms));
  BOOST_TEST(!minimal.age.has_value());
  BOOST_TEST(!minimal.accepts_deflate);
  BOOST_TEST(!minimal.accepts_deflated_changes);
}

RC_BOOST_PROP(any_query_is_read, (const std::string& query)) { StoreCopyRequest::FromQuery(query); }

RC_BOOST_PROP(inflating_restores_the_bytes, (const std::string& bytes)) {
  RC_ASSERT(Inflate(Deflate(bytes), bytes.size()) == bytes);
}

RC_BOOST_PROP(any_stream_is_inflated_or_rejected, (const std::string& stream)) {
  const auto bytes = Inflate(stream, 1'000);
  RC_ASSERT(!bytes || bytes->size() <= 1'000U);
}

BOOST_AUTO_TEST_CASE(long_streams_are_inflated_up_to_the_bound) {
  const std::string bytes(300'000, 'x');
  const std::string stream = Deflate(bytes);
  BOOST_TEST(stream.size() < 3'000U);
  BOOST_TEST((Inflate(stream, bytes.size()) == bytes));
  BOOST_TEST(!Inflate(stream, bytes.size() - 1).has_value());
  BOOST_TEST(!Inflate(stream.substr(0, stream.size() / 2), bytes.size()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
