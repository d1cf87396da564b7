// Guards against scopes that two sets of isolated workspaces share: a workspace would use cache of
// one that is isolated from it.

#include "isolation/cache_scope.h"

#include <rapidcheck/boost_test.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

using namespace ridgehold;

namespace {

std::vector<WorkspaceId> IdsOf(const std::set<std::string>& names) {
  std::vector<WorkspaceId> ids;
  for (const std::string& name : names) ids.emplace_back(name);
  return ids;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cache_scope)

RC_BOOST_PROP(different_sets_have_different_scopes,
              (const std::set<std::string>& a, const std::set<std::string>& b)) {
  RC_ASSERT((SharedCacheScope(IdsOf(a)) == SharedCacheScope(IdsOf(b))) == (a == b));
}

RC_BOOST_PROP(order_and_repetition_do_not_matter, (const std::set<std::string>& names)) {
  std::vector<WorkspaceId> ids = IdsOf(names);
  const std::string scope = SharedCacheScope(ids);
  std::ranges::reverse(ids);
  if (!ids.empty()) ids.push_back(ids.front());
  RC_ASSERT(SharedCacheScope(ids) == scope);
}

RC_BOOST_PROP(no_workspace_has_the_shared_scope,
              (const std::set<std::string>& isolated, const std::string& workspace)) {
  RC_ASSERT(OwnCacheScope(WorkspaceId(workspace)) != SharedCacheScope(IdsOf(isolated)));
}

BOOST_AUTO_TEST_CASE(separators_in_names_do_not_join_them) {
  BOOST_TEST(SharedCacheScope(IdsOf({"a", "b"})) != SharedCacheScope(IdsOf({"a1:b"})));
  BOOST_TEST(SharedCacheScope(IdsOf({"a,b"})) != SharedCacheScope(IdsOf({"a", "b"})));
}

// Caches stay warm through an upgrade.
BOOST_AUTO_TEST_CASE(name_without_isolated_workspaces_is_stable) {
  BOOST_TEST(SharedCacheScope({}) == "shared");
}

BOOST_AUTO_TEST_SUITE_END()
