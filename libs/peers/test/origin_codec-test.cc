#include "peers/origin_codec.h"

#include <boost/test/unit_test.hpp>

#include "peers/load_messages.h"

using namespace ridgehold;

namespace {

OriginMessage RoundTrip(const OriginMessage& message) {
  const std::string bytes = Encode(DaemonId("entry-kumamoto-a-12"), message);
  return ValueOr(
      [&]() -> Result<OriginMessage> {
        BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
        return std::get<OriginMessage>(decoded);
      },
      [](const Failure& failure) -> OriginMessage {
        BOOST_FAIL(failure.detail);
        return OriginNotice();
      });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(origin_codec)

BOOST_AUTO_TEST_CASE(messages_are_decoded_as_encoded) {
  OriginNotice notice;
  notice.streams = {{AttemptHash(5), {StreamScope(6), ReleaseId("v1.2")}},
                    {AttemptHash(7), {StreamScope(8), ReleaseId()}}};
  BOOST_TEST((RoundTrip(notice) == OriginMessage(notice)));
  const OriginQuery query{3, AttemptHash(5), StreamScope(6), ServiceId("s")};
  BOOST_TEST((RoundTrip(query) == OriginMessage(query)));
  const OriginAnswer unknown{3, std::nullopt, true};
  BOOST_TEST((RoundTrip(unknown) == OriginMessage(unknown)));
  const OriginAnswer unversioned{3, ReleaseId(), false};
  BOOST_TEST((RoundTrip(unversioned) == OriginMessage(unversioned)));
}

// Each stream costs as many notices as it has keepers.
BOOST_AUTO_TEST_CASE(notice_of_a_stream_is_small) {
  constexpr std::size_t kMaxNoticeBytes = 64;
  OriginNotice notice;
  notice.streams = {{AttemptHash(~0ULL), {StreamScope(~0ULL), ReleaseId("v1.2")}}};
  BOOST_TEST(Encode(DaemonId("entry-kumamoto-a-12"), OriginMessage(notice)).size() <=
             kMaxNoticeBytes);
}

BOOST_AUTO_TEST_SUITE_END()
