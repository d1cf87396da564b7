// Opens listening sockets.

#pragma once

#include <string>

#include "base/result.h"
#include "net/beast.h"

namespace ridgehold {

/// Opens a listening socket on `address:port`. Fails with kAddressUnavailable if that may succeed
/// later, else with kInvalidSettings.
Result<tcp::acceptor> Listen(net::any_io_executor executor, const std::string& address);

/// The failure of a socket that cannot be opened or bound: `cannot WHAT: REASON`. The code is
/// kAddressUnavailable if another process has the port, the address is not assigned to the host, or
/// the host or the process lacks descriptors or memory; else kInvalidSettings.
Failure BindFailure(const std::string& what, const ErrorCode& error);

}  // namespace ridgehold
