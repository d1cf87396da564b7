#include "entry/store_copy_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "control/key_changes.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

/// A copy of the store that the test changes.
struct Source {
  KeyChanges changes;
  std::map<std::string, StoreItem> copy;
  std::uint64_t newest = 0;
  StoreConnectivity link;
  bool is_ready = true;

  void Put(const std::string& key, const std::string& value) {
    const StoreRevision revision(++newest);
    copy[key] = {key, value, revision, {}};
    changes.RecordPut(key, revision);
  }
  void Remove(const std::string& key) {
    copy.erase(key);
    changes.RecordRemoval(key, StoreRevision(++newest));
  }

  bool ready() const { return is_ready; }
  StoreRevision revision() const { return StoreRevision(newest); }
  const std::map<std::string, StoreItem>& items() const { return copy; }
  const StoreConnectivity& connectivity() const { return link; }
  std::optional<std::vector<StoreEvent>> ChangesAfter(StoreRevision revision) const {
    return changes.After(revision, copy);
  }
};

struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), {}, {}, metrics};
  Source source;
  StoreCopyServer<Source> server{state, source};
  std::optional<AdminPage> page;

  Fixture() {
    source.changes.StartAt(StoreRevision(10));
    source.newest = 10;
    state.ConfirmSnapshot(Clock::now());
  }

  void Ask(const StoreCopyRequest& request) {
    page.reset();
    net::co_spawn(io, server.Respond(request.ToQuery()),
                  [this](std::exception_ptr, AdminPage got) { page = std::move(got); });
    Run(5ms);
  }
  /// The answer takes a while to be made.
  void AskLarge(const StoreCopyRequest& request) {
    Ask(request);
    Run(5s);
    BOOST_REQUIRE(page.has_value());
  }
  void Run(std::chrono::milliseconds time) {
    io.restart();
    io.run_for(time);
  }
  StoreCopy Answer() const {
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE((page->status == http::status::ok));
    return *DecodeStoreCopy(page->body);
  }
  static std::map<std::string, std::string> ValuesOf(const StoreCopy& copy) {
    std::map<std::string, std::string> values;
    for (const StoreEvent& change : copy.changes) values[change.key] = change.item->value;
    return values;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(store_copy_server, Fixture)

BOOST_AUTO_TEST_CASE(reader_that_is_up_to_date_waits_for_a_change) {
  Ask({.revision = StoreRevision(10), .wait = 500ms});
  Run(100ms);
  BOOST_TEST(!page.has_value());
  source.Put("a", "1");
  server.NotifyUpdated();
  Run(20ms);
  const StoreCopy copy = Answer();
  BOOST_TEST(!copy.is_snapshot);
  BOOST_TEST(copy.changes.size() == 1U);
  BOOST_TEST((copy.revision == StoreRevision(11)));
  BOOST_TEST((copy.held >= 90ms));
}

BOOST_AUTO_TEST_CASE(wait_ends_without_a_change) {
  Ask({.revision = StoreRevision(10), .wait = 50ms});
  BOOST_TEST(!page.has_value());
  Run(100ms);
  BOOST_TEST(Answer().changes.empty());
}

// A confirmation travels through all levels of relays like a change. Waiting for the next one at
// each level would make the last ones look cut off.
BOOST_AUTO_TEST_CASE(newer_confirmation_is_news) {
  Ask({.revision = StoreRevision(10), .wait = 500ms, .age = 700ms});
  BOOST_TEST(Answer().changes.empty());
  Ask({.revision = StoreRevision(10), .wait = 500ms, .age = 50ms});
  BOOST_TEST(!page.has_value());
}

BOOST_AUTO_TEST_CASE(instance_that_starts_answers_once_it_has_a_copy) {
  source.is_ready = false;
  Ask({.revision = StoreRevision(), .wait = 200ms, .accepts_deflate = true});
  BOOST_TEST(!page.has_value());
  source.is_ready = true;
  server.NotifyUpdated();
  Run(20ms);
  BOOST_TEST(Answer().is_snapshot);
  source.is_ready = false;
  Ask({.revision = StoreRevision(), .wait = 20ms});
  Run(50ms);
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST((page->status == http::status::service_unavailable));
}

// Hundreds of instances that start together get one compressed copy, made once in a while. What
// changed since must come with it: a request that crashes servers may have been quarantined.
BOOST_AUTO_TEST_CASE(packed_copy_includes_the_changes_since_it_was_made) {
  source.Put("a", "1");
  source.Put("b", "1");
  source.Put("c", "1");
  const StoreCopyRequest everything{.accepts_deflate = true};
  Ask(everything);
  BOOST_TEST(ValuesOf(Answer()).size() == 3U);
  source.Put("a", "2");
  source.Remove("b");
  source.Put("d", "1");
  Ask(everything);
  const StoreCopy copy = Answer();
  BOOST_TEST(copy.is_snapshot);
  BOOST_TEST((copy.revision == source.revision()));
  const std::map<std::string, std::string> expected{{"a", "2"}, {"c", "1"}, {"d", "1"}};
  BOOST_TEST((ValuesOf(copy) == expected));
}

// Guards against changes of one key that fill the links of small relays with a whole configuration
// for each follower.
BOOST_AUTO_TEST_CASE(large_changes_are_compressed_beside_the_others) {
  std::string config;
  while (config.size() < 200'000) config += "route " + std::to_string(config.size()) + ",";
  source.Put("server", "1");
  source.Put("config", config);
  source.Remove("gone");
  source.Put("other", "1");
  const StoreCopyRequest request{
      .revision = StoreRevision(10), .accepts_deflate = true, .accepts_deflated_changes = true};
  AskLarge(request);
  BOOST_TEST(page->body.size() < config.size() / 3);
  const StoreCopy copy = Answer();
  BOOST_TEST(!copy.is_snapshot);
  std::vector<std::string> keys;
  for (const StoreEvent& change : copy.changes) keys.push_back(change.key);
  BOOST_TEST((keys == std::vector<std::string>{"server", "config", "gone", "other"}));
  BOOST_TEST(copy.changes[1].item->value == config);
  BOOST_TEST(!copy.changes[2].item.has_value());
  config += "changed";
  source.Put("config", config);
  AskLarge(request);
  BOOST_TEST(Answer().changes.back().item->value == config);
}

// Instances of earlier builds take packed items for a snapshot, without removals.
BOOST_AUTO_TEST_CASE(reader_of_an_earlier_build_gets_plain_changes) {
  const std::string config(200'000, 'c');
  source.Put("config", config);
  AskLarge({.revision = StoreRevision(10), .accepts_deflate = true});
  BOOST_TEST(page->body.size() > config.size());
  BOOST_TEST(Answer().changes.front().item->value == config);
}

BOOST_AUTO_TEST_CASE(reader_without_decompression_gets_plain_items) {
  source.Put("a", "1");
  Ask({.revision = StoreRevision()});
  const StoreCopy copy = Answer();
  BOOST_TEST(copy.is_snapshot);
  BOOST_TEST(ValuesOf(copy).at("a") == "1");
}

// A relay that is behind, as after a partition, has nothing for a reader that is ahead.
BOOST_AUTO_TEST_CASE(reader_that_is_ahead_gets_no_copy) {
  source.Put("a", "1");
  Ask({.revision = StoreRevision(20), .wait = 10ms, .accepts_deflate = true});
  Run(50ms);
  BOOST_TEST(!Answer().is_snapshot);
  BOOST_TEST(Answer().changes.empty());
}

BOOST_AUTO_TEST_SUITE_END()
