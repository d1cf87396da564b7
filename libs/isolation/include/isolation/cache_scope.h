// Names of the scopes within which requests share KV cache.

#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace ridgehold {

/// The scope of an isolated workspace, which it shares with no other.
std::string OwnCacheScope(const WorkspaceId& workspace);

/// The scope that all other workspaces share while these are isolated. Equal sets have equal names,
/// in any order and at any instance. A workspace never uses a scope that is named after it, so
/// whatever it made while it was not isolated lies in scopes of other names than the one in use
/// while it is.
std::string SharedCacheScope(std::vector<WorkspaceId> isolated);

}  // namespace ridgehold
