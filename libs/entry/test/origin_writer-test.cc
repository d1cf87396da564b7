#include "entry/origin_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "memory_store.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

const ReleaseId kV1("v1");

struct Fixture {
  using Writer = OriginWriter<MemoryStore>;

  Fixture() {
    Writer::Options options;
    options.process = "p";
    options.take = [this] { return std::exchange(begun, {}); };
    options.interval = [] { return 5ms; };
    options.key_time = 60ms;
    options.stream_lifetime = 100ms;
    writer = std::make_unique<Writer>(store, io.get_executor(), metrics, std::move(options));
    net::co_spawn(io, writer->Run(), net::detached);
  }

  void Begin(std::uint64_t stream) { begun[kV1].push_back(StreamHash(stream)); }

  /// What an instance that starts now reads.
  StoredOrigins Read() {
    StoredOrigins origins;
    for (const auto& [key, item] : table.items()) {
      if (key.starts_with(kOriginPrefix)) origins.Put(key, *DecodeOriginBatch(item.value));
    }
    return origins;
  }

  net::io_context io;
  Metrics metrics;
  MemoryTable table{io.get_executor()};
  MemoryStore store{table, 1};
  OriginBatch begun;
  std::unique_ptr<Writer> writer;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(origin_writer, Fixture)

// Guards against origins that are lost when a key is written again.
BOOST_AUTO_TEST_CASE(streams_of_several_writes_are_found) {
  for (std::uint64_t stream = 1; stream <= 10; ++stream) {
    Begin(stream);
    io.run_for(10ms);
  }
  const StoredOrigins origins = Read();
  for (std::uint64_t stream = 1; stream <= 10; ++stream) {
    BOOST_TEST((origins.Find(StreamHash(stream)) == kV1));
  }
  BOOST_TEST(table.items().size() > 1U);
  BOOST_TEST(table.items().size() < 10U);
}

BOOST_AUTO_TEST_CASE(nothing_is_written_without_streams) {
  io.run_for(50ms);
  BOOST_TEST(table.revision() == 0U);
}

// Guards against origins that are dropped while the store is away for a moment.
BOOST_AUTO_TEST_CASE(streams_are_written_when_the_store_is_back) {
  store.faults.down = true;
  Begin(1);
  io.run_for(30ms);
  store.faults.down = false;
  io.run_for(30ms);
  BOOST_TEST((Read().Find(StreamHash(1)) == kV1));
}

BOOST_AUTO_TEST_SUITE_END()
