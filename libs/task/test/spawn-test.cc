// Guards against duties that stop without a trace, and processes that end, after an exception.

#include "task/spawn.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

#include "net/timer.h"
#include "net/wait.h"

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(spawn)

BOOST_AUTO_TEST_CASE(exception_ends_only_the_task_that_throws) {
  boost::asio::io_context io;
  bool other_ended = false;
  const auto throws = []() -> net::awaitable<void> {
    throw std::runtime_error("cannot go on");
    co_return;
  };
  const auto other = [&]() -> net::awaitable<void> {
    Timer timer(io);
    co_await WaitFor(timer, std::chrono::milliseconds(5));
    other_ended = true;
  };
  Spawn(io.get_executor(), "throws", throws());
  Spawn(io.get_executor(), "other", other());
  BOOST_CHECK_NO_THROW(io.run());
  BOOST_TEST(other_ended);
}

BOOST_AUTO_TEST_CASE(duty_is_started_again_after_an_exception) {
  boost::asio::io_context io;
  int starts = 0;
  const Duty duty = [&]() -> net::awaitable<void> {
    if (++starts == 1) throw std::runtime_error("cannot go on");
    co_return;
  };
  SpawnDuty(io.get_executor(), "duty", duty);
  BOOST_CHECK_NO_THROW(io.run());
  BOOST_TEST(starts == 2);
}

BOOST_AUTO_TEST_SUITE_END()
