// One blocking HTTP call, for measuring tools.

#pragma once

#include <chrono>
#include <string>

#include "base/result.h"
#include "http/client.h"

namespace ridgehold::bench {

/// Returns the answer's body; `status` is 0 when there was no whole answer.
inline std::string Send(HttpClient& client, const std::string& method, const std::string& url,
                        const std::string& body, int& status) {
  HttpCall call;
  call.method = method;
  call.url = url;
  call.body = body;
  call.total_timeout = std::chrono::seconds(10);
  return ValueOr(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(answer, client.Fetch(std::move(call)));
        status = answer.status;
        return answer.body;
      },
      [&](const Failure&) {
        status = 0;
        return std::string();
      });
}

}  // namespace ridgehold::bench
