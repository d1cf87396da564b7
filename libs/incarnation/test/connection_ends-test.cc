#include "incarnation/connection_ends.h"

#include <boost/test/unit_test.hpp>

#include "incarnation/connection_end.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

TimePoint At(std::chrono::milliseconds time) { return TimePoint() + 1h + time; }

/// A connection, opened at 0, that was last alive at 1 s.
ConnectionEnd Broken(bool others_open = false) {
  ConnectionEnd end;
  end.opened = At(0ms);
  end.alive_at = At(1'000ms);
  end.amid_exchange = true;
  end.others_open = others_open;
  return end;
}

ConnectionEnd ClosedAfter(Duration idle, std::optional<std::chrono::seconds> timeout = std::nullopt,
                          bool others_open = false) {
  ConnectionEnd end;
  end.opened = At(0ms);
  end.alive_at = At(900ms);
  end.idle = idle;
  end.idle_timeout = timeout;
  end.others_open = others_open;
  return end;
}

constexpr bool kOthersOpen = true;

}  // namespace

BOOST_AUTO_TEST_SUITE(connection_ends)

// Guards against connections that a sound server closes being taken for its end.
BOOST_AUTO_TEST_CASE(idle_connection_that_is_closed_early_shows_an_end) {
  BOOST_TEST(!ConnectionEnds().Record(ClosedAfter(900ms), At(1s)));
  BOOST_TEST(ConnectionEnds().Record(ClosedAfter(4'400ms, 5s), At(1s)).has_value());
  BOOST_TEST(!ConnectionEnds().Record(ClosedAfter(4'600ms, 5s), At(1s)));
  BOOST_TEST(!ConnectionEnds().Record(ClosedAfter(900ms, 5s, kOthersOpen), At(1s)));
}

// Guards against take-ups refused after a server has broken off a single response.
BOOST_AUTO_TEST_CASE(single_broken_exchange_shows_nothing) {
  ConnectionEnds ends;
  BOOST_TEST(!ends.Record(Broken(), At(1'100ms)));
  BOOST_TEST(!ends.Record(Broken(), At(1'400ms)));
}

// Guards against take-ups refused after a server has broken off one response after the other.
BOOST_AUTO_TEST_CASE(exchanges_that_break_one_after_the_other_show_nothing) {
  ConnectionEnds ends;
  ConnectionEnd next = Broken();
  BOOST_TEST(!ends.Record(Broken(), At(1'010ms)));
  next.opened = At(1'020ms);
  next.alive_at = At(1'030ms);
  BOOST_TEST(!ends.Record(next, At(1'040ms)));
}

// Guards against an end that goes unseen because it is never the last connection that tells.
BOOST_AUTO_TEST_CASE(connections_that_end_together_show_an_end) {
  ConnectionEnds ends;
  BOOST_TEST(!ends.Record(Broken(kOthersOpen), At(1'100ms)));
  const auto process = ends.Record(Broken(), At(1'101ms));
  BOOST_REQUIRE(process.has_value());
  BOOST_TEST((process->alive_at == At(1'000ms)));
  BOOST_TEST(!ends.Record(Broken(), At(1'102ms)));
  BOOST_TEST(!ends.Record(ClosedAfter(900ms, std::nullopt, kOthersOpen), At(2s)));
  BOOST_TEST(ends.Record(Broken(), At(2'001ms)).has_value());
  BOOST_TEST(!ends.Record(Broken(kOthersOpen), At(3s)));
  BOOST_TEST(!ends.Record(Broken(), At(3'251ms)));
}

// Guards against sound servers without take-ups: unused connections reach their timeout together.
BOOST_AUTO_TEST_CASE(idle_connections_that_are_closed_together_show_nothing) {
  ConnectionEnds ends;
  BOOST_TEST(!ends.Record(ClosedAfter(2s, std::nullopt, kOthersOpen), At(3s)));
  BOOST_TEST(!ends.Record(ClosedAfter(2s), At(3s)));
  BOOST_TEST(ends.Record(Broken(), At(3s)).has_value());
}

// Guards against a server at its limit of connections, which resets new ones, being in doubt.
BOOST_AUTO_TEST_CASE(new_connections_that_are_reset_show_nothing) {
  ConnectionEnds ends;
  ConnectionEnd reset = Broken();
  reset.alive_at = reset.opened;
  BOOST_TEST(!ends.Record(reset, At(1'100ms)));
  BOOST_TEST(!ends.Record(reset, At(1'101ms)));
}

BOOST_AUTO_TEST_SUITE_END()
