// A received HTTP request.

#pragma once

#include <string>

#include "http/headers.h"

namespace ridgehold {

/// A whole request as the server read it.
struct HttpRequest {
  std::string method;  ///< such as `POST`
  std::string path;    ///< without the query
  std::string query;   ///< without the question mark; may be empty
  Headers headers;
  std::string body;
};

}  // namespace ridgehold
