#include "fault_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "net/write_state.h"

namespace ridgehold::soak {
namespace {

constexpr std::chrono::milliseconds kWriteEndLimit{1'000};
constexpr std::size_t kPiece = 8'192;              // bytes read at once
constexpr std::chrono::milliseconds kHoldLook{5};  // how often a held link is looked at

void ResetSocket(tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(net::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

TimePoint SharedLink::Accept(std::size_t bytes) {
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           static_cast<double>(bytes_per_second_));
  busy_until_ =
      std::max(busy_until_, Clock::now()) + std::chrono::duration_cast<Clock::duration>(time);
  return busy_until_;
}

struct FaultProxy::Link {
  Link(tcp::socket accepted, std::shared_ptr<const LinkState> link_state)
      : client(std::move(accepted)),
        server(client.get_executor()),
        client_writes(client.get_executor()),
        server_writes(client.get_executor()),
        state(std::move(link_state)) {}

  void Reset() {
    ResetSocket(client);
    ResetSocket(server);
  }

  tcp::socket client;
  tcp::socket server;
  WriteState client_writes;
  WriteState server_writes;
  std::shared_ptr<const LinkState> state;
  bool connected = false;  // to the server
};

FaultProxy::FaultProxy(net::any_io_executor executor, const std::string& target)
    : FaultProxy(std::move(executor), target, {net::ip::make_address("127.0.0.1"), 0}) {}

FaultProxy::FaultProxy(net::any_io_executor executor, const std::string& target,
                       const tcp::endpoint& listen)
    : target_(ParseEndpoint(target)), acceptor_(executor, listen) {
  const tcp::endpoint bound = acceptor_.local_endpoint();
  address_ = bound.address().to_string() + ":" + std::to_string(bound.port());
  net::co_spawn(executor, Accept(generation_), net::detached);
}

void FaultProxy::StopListening() {
  ErrorCode ignored;
  acceptor_.close(ignored);
  ++generation_;
  fillers_.clear();
}

void FaultProxy::Listen() {
  StopListening();
  acceptor_ = tcp::acceptor(acceptor_.get_executor(), ParseEndpoint(address_));
}

void FaultProxy::Close() {
  StopListening();
  Reset();
}

void FaultProxy::EndServer() {
  StopListening();
  // Such a connection would reach the server's next process.
  for (const auto& weak : links_) {
    const auto link = weak.lock();
    if (link && !link->connected) link->Reset();
  }
}

void FaultProxy::RefuseNew() { StopListening(); }

void FaultProxy::Silence() {
  constexpr int kFillers = 3;
  state_->hold_to_server = true;
  state_->hold_to_client = true;
  StopListening();
  const tcp::endpoint endpoint = ParseEndpoint(address_);
  acceptor_ = tcp::acceptor(acceptor_.get_executor());
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(0);
  for (int i = 0; i < kFillers; ++i) {
    fillers_.push_back(std::make_shared<tcp::socket>(acceptor_.get_executor()));
    fillers_.back()->async_connect(endpoint, [filler = fillers_.back()](const ErrorCode&) {});
  }
}

void FaultProxy::Open() {
  Listen();
  net::co_spawn(acceptor_.get_executor(), Accept(generation_), net::detached);
}

void FaultProxy::Restore() {
  *state_ = {};
  Open();
}

void FaultProxy::Reset() {
  for (const auto& weak : links_) {
    if (const auto link = weak.lock()) link->Reset();
  }
  links_.clear();
}

net::awaitable<void> FaultProxy::Accept(int generation) {
  while (generation == generation_) {
    ErrorCode error;
    tcp::socket socket =
        co_await acceptor_.async_accept(net::redirect_error(net::use_awaitable, error));
    if (error || generation != generation_) co_return;
    if (state_->refuse_new) {
      ResetSocket(socket);
      continue;
    }
    ErrorCode gone;
    const tcp::endpoint client = socket.remote_endpoint(gone);
    std::shared_ptr<const LinkState> state = state_;
    if (state_source_) state = state_source_(client);
    const auto link = std::make_shared<Link>(std::move(socket), std::move(state));
    links_.push_back(link);
    net::co_spawn(acceptor_.get_executor(), Connect(link, target_, shared_link_), net::detached);
  }
}

net::awaitable<void> FaultProxy::Connect(Sockets link, tcp::endpoint target,
                                         std::shared_ptr<SharedLink> shared) {
  ErrorCode error;
  co_await link->server.async_connect(target, net::redirect_error(net::use_awaitable, error));
  if (error) {
    link->Reset();
    co_return;
  }
  link->connected = true;
  ErrorCode ignored;
  link->client.set_option(tcp::no_delay(true), ignored);
  link->server.set_option(tcp::no_delay(true), ignored);
  const auto executor = link->client.get_executor();
  net::co_spawn(executor, Pump(link, link->client, link->server, &LinkState::hold_to_server, {}),
                net::detached);
  net::co_spawn(executor,
                Pump(link, link->server, link->client, &LinkState::hold_to_client, shared),
                net::detached);
}

net::awaitable<void> FaultProxy::Pump(Sockets link, tcp::socket& from, tcp::socket& to,
                                      bool LinkState::*held, std::shared_ptr<SharedLink> shared) {
  std::array<char, kPiece> piece;
  const bool from_client = &from == &link->client;
  WriteState& from_writes = from_client ? link->client_writes : link->server_writes;
  WriteState& to_writes = from_client ? link->server_writes : link->client_writes;
  for (;;) {
    ErrorCode read_error;
    const std::size_t size = co_await from.async_read_some(
        net::buffer(piece), net::redirect_error(net::use_awaitable, read_error));
    if (link->state->delay.count() > 0) co_await Sleep(link->state->delay);
    while ((*link->state).*held) co_await Sleep(kHoldLook);
    ErrorCode error;
    if (read_error == net::error::eof) {
      const bool in_order =
          co_await from_writes.InputEndedInOrder(from, ridgehold::Clock::now() + kWriteEndLimit);
      in_order ? void(to.shutdown(tcp::socket::shutdown_send, error)) : link->Reset();
      co_return;
    }
    if (!read_error && shared) {
      const auto wait = shared->Accept(size) - Clock::now();
      co_await Sleep(std::chrono::ceil<std::chrono::milliseconds>(wait));
    }
    if (!read_error) {
      to_writes.Begin();
      co_await net::async_write(to, net::buffer(piece.data(), size),
                                net::redirect_error(net::use_awaitable, error));
      to_writes.End(error);
    }
    if (read_error || error) {
      link->Reset();
      co_return;
    }
  }
}

}  // namespace ridgehold::soak
