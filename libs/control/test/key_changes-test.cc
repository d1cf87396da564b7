#include "control/key_changes.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

namespace {

struct Fixture {
  KeyChanges changes{3};
  std::map<std::string, StoreItem> items;

  void Put(const std::string& key, std::uint64_t revision) {
    items[key] = {key, "value at " + std::to_string(revision), StoreRevision(revision), {}};
    changes.RecordPut(key, StoreRevision(revision));
  }
  void Remove(const std::string& key, std::uint64_t revision) {
    items.erase(key);
    changes.RecordRemoval(key, StoreRevision(revision));
  }

  /// The keys that changed after `revision`; removed ones are in parentheses.
  std::string After(std::uint64_t revision) const {
    const auto events = changes.After(StoreRevision(revision), items);
    if (!events) return "unknown";
    std::string keys;
    for (const StoreEvent& event : *events) {
      keys += event.item ? event.key + " " : "(" + event.key + ") ";
    }
    return keys;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(key_changes, Fixture)

BOOST_AUTO_TEST_CASE(each_key_is_told_once_with_its_latest_change) {
  Put("a", 1);
  Put("b", 2);
  Put("a", 3);
  Put("c", 4);
  Remove("c", 5);
  BOOST_TEST(After(0) == "b a (c) ");
  BOOST_TEST(After(2) == "a (c) ");
  BOOST_TEST(After(4) == "(c) ");
  BOOST_TEST(After(5) == "");
  Put("c", 6);
  BOOST_TEST(After(4) == "c ");
}

BOOST_AUTO_TEST_CASE(keys_of_one_transaction_are_told_together) {
  Put("a", 1);
  Put("b", 1);
  Remove("c", 1);
  BOOST_TEST(After(0) == "(c) a b ");
  BOOST_TEST(After(1) == "");
}

BOOST_AUTO_TEST_CASE(removals_before_the_start_or_beyond_the_bound_are_unknown) {
  changes.StartAt(StoreRevision(10));
  Put("a", 4);
  BOOST_TEST(After(9) == "unknown");
  BOOST_TEST(After(10) == "");
  for (const char* key : {"r1", "r2", "r3"}) Remove(key, 20);
  BOOST_TEST(After(10) == "(r1) (r2) (r3) ");
  Remove("r4", 21);
  BOOST_TEST(After(19) == "unknown");
  BOOST_TEST(After(20) == "(r4) ");
}

BOOST_AUTO_TEST_SUITE_END()
