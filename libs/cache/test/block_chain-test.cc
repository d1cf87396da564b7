#include "cache/block_chain.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "cache/prompt.h"

using namespace ridgehold;

namespace {

/// Text of so many blocks, different for each seed.
std::string Text(int blocks, char seed) {
  return std::string(static_cast<std::size_t>(blocks) * kBlockBytes, seed);
}

std::optional<Prompt> Read(const std::string& body) {
  return ValueOr([&]() -> Result<std::optional<Prompt>> { return ParsePrompt(body); },
                 [](const Failure&) { return std::optional<Prompt>(); });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(block_chain)

RC_BOOST_PROP(chains_are_equal_exactly_as_far_as_the_texts_are, ()) {
  const int shared = *rc::gen::inRange(0, 8);
  const int rest = *rc::gen::inRange(1, 8);
  const auto one = HashBlocks(Text(shared, 'a') + Text(rest, 'b'), "salt");
  const auto two = HashBlocks(Text(shared, 'a') + Text(rest, 'c'), "salt");
  RC_ASSERT(one.size() == static_cast<std::size_t>(shared + rest));
  for (std::size_t i = 0; i < one.size(); ++i) {
    RC_ASSERT((one[i] == two[i]) == (i < static_cast<std::size_t>(shared)));
  }
}

BOOST_AUTO_TEST_CASE(a_block_at_another_nesting_level_hashes_differently) {
  const auto chain = HashBlocks(Text(4, 'a'), "salt");
  for (std::size_t i = 1; i < chain.size(); ++i) BOOST_TEST(chain[i] != chain[0]);
}

RC_BOOST_PROP(no_two_scopes_share_a_salt_or_a_block,
              (const std::string& workspace, const std::string& model, const std::string& weights,
               const std::string& other)) {
  const CacheScope scope{WorkspaceId(workspace), ModelId(model), WeightsVersion(weights)};
  std::vector<CacheScope> others(4, scope);
  others[0].workspace = WorkspaceId(workspace + "x" + other);
  others[1].model = ModelId(model + "x" + other);
  others[2].weights = WeightsVersion(weights + "x" + other);
  // The parts moved against each other must not read alike.
  others[3] = {WorkspaceId(workspace + model), ModelId(""), WeightsVersion(weights + "x")};
  for (const CacheScope& foreign : others) {
    RC_ASSERT(CacheSalt(foreign) != CacheSalt(scope));
    RC_ASSERT(HashBlocks(Text(1, 'a'), CacheSalt(foreign)) !=
              HashBlocks(Text(1, 'a'), CacheSalt(scope)));
  }
}

BOOST_AUTO_TEST_CASE(unknown_message_shapes_count_for_the_prefix) {
  const auto text = [](const char* part) {
    return Read(std::string(R"({"model":"m","messages":[{"role":"user","content":[)") + part +
                "]}]}")
        ->text;
  };
  BOOST_TEST(text(R"({"type":"image_url","image_url":{"url":"a"}})") !=
             text(R"({"type":"image_url","image_url":{"url":"b"}})"));
}

RC_BOOST_PROP(arbitrary_bodies_never_crash, (const std::string& bytes)) {
  Read(bytes);
  Read(R"({"model":"m","messages":[)" + bytes + "]}");
  Read(R"({"model":"m","prompt":)" + bytes + "}");
}

BOOST_AUTO_TEST_SUITE_END()
