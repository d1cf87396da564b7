#include "net/listen.h"

#include <algorithm>
#include <array>

namespace ridgehold {
namespace {

bool MayPass(const ErrorCode& error) {
  namespace errc = boost::system::errc;
  constexpr std::array kPassing = {errc::address_in_use,      errc::address_not_available,
                                   errc::too_many_files_open, errc::too_many_files_open_in_system,
                                   errc::no_buffer_space,     errc::not_enough_memory};
  return std::ranges::any_of(kPassing, [&](errc::errc_t code) { return error == code; });
}

}  // namespace

Failure BindFailure(const std::string& what, const ErrorCode& error) {
  return {MayPass(error) ? ResultCode::kAddressUnavailable : ResultCode::kInvalidSettings,
          "cannot " + what + ": " + error.message()};
}

Result<tcp::acceptor> Listen(net::any_io_executor executor, const std::string& address) {
  const tcp::endpoint endpoint = ParseEndpoint(address);
  tcp::acceptor acceptor(executor);
  ErrorCode error;
  acceptor.open(tcp::v4(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(net::socket_base::max_listen_connections, error);
  if (error) return Fail(BindFailure("listen on " + address, error));
  return acceptor;
}

}  // namespace ridgehold
