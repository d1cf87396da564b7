// Identifies workspaces in messages between gateways.

#pragma once

#include <cstdint>

namespace ridgehold {

/// Hash of a workspace's id; 0: the request has no workspace.
using WorkspaceHash = std::uint64_t;

}  // namespace ridgehold
