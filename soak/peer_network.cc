#include "peer_network.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "instance_process.h"

namespace ridgehold::soak {

void PeerNetwork::Add(const std::string& published, const std::string& own) {
  const auto address = net::ip::make_address(published);
  peers_.push_back(std::make_unique<Peer>(
      Peer{net::ip::make_address(own),
           net::ip::udp::socket(executor_, net::ip::udp::endpoint(address, kPeerPort)), nullptr}));
  Peer* const peer = peers_.back().get();
  peer->proxy = std::make_unique<FaultProxy>(executor_, own + ":" + std::to_string(kPeerPort),
                                             tcp::endpoint(address, kPeerPort));
  peer->proxy->SetStateSource(
      [this, peer](const tcp::endpoint& client) { return StateOf(Find(client.address()), peer); });
  net::co_spawn(executor_, Pass(peer), net::detached);
}

void PeerNetwork::Count(const std::string& own, int change) {
  Find(net::ip::make_address(own))->cuts += change;
  for (const auto& [ends, state] : states_) Apply(ends, *state);
}

PeerNetwork::Peer* PeerNetwork::Find(const net::ip::address& own) {
  const auto found =
      std::ranges::find_if(peers_, [&](const auto& peer) { return peer->own == own; });
  return found == peers_.end() ? nullptr : found->get();
}

std::shared_ptr<const LinkState> PeerNetwork::StateOf(const Peer* source, const Peer* target) {
  const Ends ends{source, target};
  const auto [found, is_new] = states_.try_emplace(ends, std::make_shared<LinkState>());
  if (is_new) Apply(ends, *found->second);
  return found->second;
}

void PeerNetwork::Apply(const Ends& ends, LinkState& state) {
  const bool cut = (ends.first != nullptr && ends.first->cuts > 0) || ends.second->cuts > 0;
  state.hold_to_server = state.hold_to_client = cut;
}

net::awaitable<void> PeerNetwork::Pass(Peer* target) {
  net::ip::udp::endpoint sender;
  for (;;) {
    ErrorCode error;
    const std::size_t size = co_await target->socket.async_receive_from(
        net::buffer(target->buffer), sender, net::redirect_error(net::use_awaitable, error));
    if (error == net::error::operation_aborted) co_return;
    Peer* const source = Find(sender.address());
    if (error || source == nullptr) continue;
    if (source->cuts > 0 || target->cuts > 0) {
      ++lost_;
      continue;
    }
    ++passed_;
    // The target takes the sender for the one that publishes the source address.
    ErrorCode ignored;
    source->socket.send_to(net::buffer(target->buffer.data(), size), {target->own, kPeerPort}, 0,
                           ignored);
  }
}

}  // namespace ridgehold::soak
