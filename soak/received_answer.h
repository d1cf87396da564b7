// Reads the answers that a soak's callers get on connections which they handle themselves.

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "ledger.h"
#include "net/beast.h"

namespace ridgehold::soak {

/// What a caller has read of one answer.
struct ReceivedAnswer {
  CallerView view;    ///< without `bytes_after`; its status is 0 if nothing was read
  bool kept = false;  ///< the connection may be used again
};

/// Reads the next answer, and the interim responses before it, until the stream's time limit.
/// `buffer` keeps what follows.
net::awaitable<ReceivedAnswer> ReceiveAnswer(boost::beast::tcp_stream& stream,
                                             boost::beast::flat_buffer& buffer);

}  // namespace ridgehold::soak
