#include "tunnel/tunnel_peers.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const RegionId kHere("here");
const RegionId kThere("there");
const TimePoint kNow{100s};

TunnelTarget TargetOf(int number) { return {BackendId("b" + std::to_string(number)), kHere}; }

std::vector<TunnelPeer> MakePeers(int count, const RegionId& region = kHere) {
  std::vector<TunnelPeer> peers;
  for (int i = 0; i < count; ++i) peers.push_back({region.value() + std::to_string(i), region});
  return peers;
}

TunnelPeers MakeTunnelPeers(std::uint64_t seed, std::vector<TunnelPeer> peers) {
  TunnelPeers chooser(kHere, seed, TunnelPeers::Options());
  chooser.SetPeers(std::move(peers));
  return chooser;
}

std::string FirstOf(TunnelPeers& peers, const TunnelTarget& target, TimePoint now = kNow) {
  const auto chosen = peers.Choose(target, 1, now);
  return chosen.empty() ? "" : chosen.front().address;
}

/// The number of tunnels at the most used of `sound` peers, when `isolated` instances open one each
/// at the same moment, several times. Peers above `sound` are isolated themselves and say so.
int MostTunnels(int instances, int sound, int rounds) {
  std::map<std::string, int> tunnels;
  for (int origin = sound; origin < instances; ++origin) {
    auto peers = MakeTunnelPeers(static_cast<std::uint64_t>(origin) << 32U, MakePeers(instances));
    for (int round = 0; round < rounds; ++round) {
      for (const TunnelPeer& peer : peers.Choose(TargetOf(round % 9), 3, kNow)) {
        const bool open = std::stoi(peer.address.substr(kHere.value().size())) < sound;
        peers.Record(peer.address, TargetOf(round % 9).backend,
                     open ? TunnelResult::kOpen : TunnelResult::kIsolated, kNow);
        if (!open) continue;
        ++tunnels[peer.address];
        break;
      }
    }
  }
  return std::ranges::max_element(tunnels, {}, [](const auto& entry) { return entry.second; })
      ->second;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(tunnel_peers)

// Guards against many instances that choose one peer when they lose their paths together.
BOOST_AUTO_TEST_CASE(instances_isolated_at_the_same_moment_spread_over_the_peers) {
  constexpr int kRounds = 20;
  struct Fleet {
    int instances;
    int sound;
  };
  for (const Fleet fleet : {Fleet{8, 3}, Fleet{85, 64}, Fleet{380, 350}}) {
    const int isolated = fleet.instances - fleet.sound;
    const double mean = 1.0 * isolated * kRounds / fleet.sound;
    const int most = MostTunnels(fleet.instances, fleet.sound, kRounds);
    BOOST_TEST_CONTEXT(fleet.instances << " instances, " << isolated << " isolated")
    BOOST_TEST(most <= 2 * mean + 6);
  }
}

BOOST_AUTO_TEST_CASE(isolated_peer_is_not_asked_again_at_once) {
  auto peers = MakeTunnelPeers(1, MakePeers(2));
  peers.Record("here0", TargetOf(1).backend, TunnelResult::kIsolated, kNow);
  for (int i = 0; i < 20; ++i) BOOST_TEST(FirstOf(peers, TargetOf(2)) == "here1");
  BOOST_TEST(peers.Choose(TargetOf(2), 2, kNow + 1s).size() == 2);
}

BOOST_AUTO_TEST_CASE(peer_that_reaches_none_of_two_servers_counts_as_isolated) {
  auto peers = MakeTunnelPeers(1, MakePeers(2));
  peers.Record("here0", TargetOf(1).backend, TunnelResult::kUnreachable, kNow);
  BOOST_TEST(peers.Choose(TargetOf(2), 2, kNow).size() == 2);
  peers.Record("here0", TargetOf(2).backend, TunnelResult::kUnreachable, kNow);
  BOOST_TEST(peers.Choose(TargetOf(3), 2, kNow).size() == 1);
}

// Guards against attempts at a server that several peers have just found unreachable.
BOOST_AUTO_TEST_CASE(server_that_two_peers_cannot_reach_is_down) {
  auto peers = MakeTunnelPeers(1, MakePeers(4));
  peers.Record("here0", TargetOf(1).backend, TunnelResult::kRefused, kNow);
  BOOST_TEST(!peers.Choose(TargetOf(1), 1, kNow).empty());
  peers.Record("here1", TargetOf(1).backend, TunnelResult::kUnreachable, kNow);
  BOOST_TEST(peers.Choose(TargetOf(1), 1, kNow).empty());
  BOOST_TEST(!peers.Choose(TargetOf(2), 1, kNow).empty());
  BOOST_TEST(!peers.Choose(TargetOf(1), 1, kNow + 1s).empty());
}

// Guards against taking isolated peers' word for the state of a server.
BOOST_AUTO_TEST_CASE(isolated_peers_say_nothing_about_a_server) {
  auto peers = MakeTunnelPeers(1, MakePeers(4));
  for (const char* peer : {"here0", "here1"}) {
    for (const int server : {1, 2}) {
      peers.Record(peer, TargetOf(server).backend, TunnelResult::kUnreachable, kNow);
    }
  }
  BOOST_TEST(!peers.Choose(TargetOf(1), 1, kNow).empty());
}

BOOST_AUTO_TEST_CASE(full_peer_is_asked_again_soon) {
  auto peers = MakeTunnelPeers(1, MakePeers(1));
  peers.Record("here0", TargetOf(1).backend, TunnelResult::kFull, kNow);
  BOOST_TEST(!peers.AnyAvailable(kNow));
  BOOST_TEST(peers.AnyAvailable(kNow + 200ms));
}

BOOST_AUTO_TEST_CASE(peer_that_opened_a_tunnel_is_trusted_again) {
  auto peers = MakeTunnelPeers(1, MakePeers(1));
  peers.Record("here0", TargetOf(1).backend, TunnelResult::kPeerFailed, kNow);
  peers.Record("here0", TargetOf(1).backend, TunnelResult::kOpen, kNow);
  BOOST_TEST(peers.AnyAvailable(kNow));
}

BOOST_AUTO_TEST_CASE(peers_of_the_own_region_come_first) {
  auto known = MakePeers(3, kThere);
  known.push_back({"near", kHere});
  auto peers = MakeTunnelPeers(1, std::move(known));
  for (int i = 0; i < 20; ++i) BOOST_TEST(FirstOf(peers, TargetOf(i)) == "near");
}

BOOST_AUTO_TEST_CASE(peers_that_are_gone_are_not_asked) {
  auto peers = MakeTunnelPeers(1, MakePeers(2));
  peers.SetPeers({{"here1", kHere}});
  for (int i = 0; i < 20; ++i) BOOST_TEST(FirstOf(peers, TargetOf(i)) == "here1");
}

BOOST_AUTO_TEST_CASE(every_result_is_parsed_from_its_name) {
  for (int i = 0; i <= static_cast<int>(TunnelResult::kPeerFailed); ++i) {
    const auto result = static_cast<TunnelResult>(i);
    BOOST_TEST((ParseTunnelResult(NameOf(result)) == result));
  }
  BOOST_TEST((ParseTunnelResult("anything") == TunnelResult::kPeerFailed));
}

BOOST_AUTO_TEST_SUITE_END()
