// Namespace aliases for Boost.Asio and Boost.Beast, and HTTP message types.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace ridgehold {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using ErrorCode = boost::system::error_code;

/// A request with its complete body.
using RequestMessage = http::request<http::string_body>;
/// A response with its complete body.
using ResponseMessage = http::response<http::string_body>;
/// A response's status line and header fields.
using ResponseHead = http::response_header<>;

/// Parses `address:port` with a numeric IPv4 address. Returns an endpoint with port 0 on failure.
tcp::endpoint ParseEndpoint(const std::string& text);

}  // namespace ridgehold
