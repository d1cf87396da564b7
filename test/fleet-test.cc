// Several daemons: configuration in force everywhere, restarts, shutdown, outages.

#include <zmq.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "cluster.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

ClusterOptions Fleet(int daemons, int engines = 0) {
  ClusterOptions options;
  options.daemons = daemons;
  options.engines = engines;
  options.zones = {"a", "b"};
  return options;
}

bool AllAt(Cluster& cluster, int daemons, const std::string& revision) {
  for (int i = 0; i < daemons; ++i) {
    if (cluster.Dumped(i, "revision") != revision) return false;
  }
  return true;
}

std::string RevisionOf(const HttpAnswer& answer) {
  return nlohmann::json::parse(answer.body)["rows"][0][1];
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(a_change_through_any_daemon_is_in_force_everywhere_within_seconds) {
  Cluster cluster(Fleet(6));
  for (int i = 0; i < 6; ++i) {
    const HttpAnswer answer = cluster.Command(i, "create workspace w" + std::to_string(i));
    BOOST_TEST(answer.status == 200);
    const std::string revision = RevisionOf(answer);
    BOOST_TEST(Eventually([&] { return AllAt(cluster, 6, revision); }, 4s));
  }
  BOOST_TEST(Eventually([&] {
    const auto rows = nlohmann::json::parse(cluster.Command(3, "show revision").body)["rows"];
    return rows.size() == 2 && rows[0][2] == "7" && rows[1][2] == "7";
  }));
}

BOOST_AUTO_TEST_CASE(a_change_spreads_with_the_store_gone_right_after_it) {
  Cluster cluster(Fleet(4));
  const HttpAnswer answer = cluster.Command(2, "create workspace w");
  cluster.platform().SetFaults({.down = true, .lose_answers = false, .delay_ms = 0});
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(Eventually([&] { return AllAt(cluster, 4, "2"); }, 4s));
  const HttpAnswer refused = cluster.Command(1, "create workspace x");
  BOOST_TEST((CodeOf(refused) == 4001 || CodeOf(refused) == 5004));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_ends_as_in_force_without_the_operator) {
  Cluster cluster(Fleet(3));
  cluster.platform().SetFaults({.down = false, .lose_answers = true, .delay_ms = 0});
  const HttpAnswer answer = cluster.Command(0, "create workspace w");
  BOOST_TEST(answer.status == 202);
  BOOST_TEST(CodeOf(answer) == 5004);
  const std::string id = nlohmann::json::parse(answer.body)["error"]["message"];
  cluster.platform().SetFaults({});
  BOOST_TEST(Eventually([&] { return AllAt(cluster, 3, "2"); }, 4s));
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(cluster.Command(i, "show change " + id).body.find("in force") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(operators_racing_through_all_daemons_lose_no_accepted_change) {
  constexpr int kDaemons = 4;
  constexpr int kEach = 10;
  Cluster cluster(Fleet(kDaemons));
  std::vector<std::thread> operators;
  std::atomic<int> accepted{0};
  for (int i = 0; i < kDaemons; ++i) {
    operators.emplace_back([&, i] {
      for (int k = 0; k < kEach; ++k) {
        const std::string name = "w" + std::to_string(i) + "-" + std::to_string(k);
        accepted += cluster.Command(i, "create workspace " + name).status == 200 ? 1 : 0;
      }
    });
  }
  for (auto& thread : operators) thread.join();
  BOOST_TEST(accepted.load() == kDaemons * kEach);
  BOOST_TEST(Eventually(
      [&] { return AllAt(cluster, kDaemons, std::to_string(1 + kDaemons * kEach)); }, 4s));
  for (int i = 1; i < kDaemons; ++i) {
    BOOST_TEST(cluster.Dumped(i, "digest") == cluster.Dumped(0, "digest"));
  }
}

BOOST_AUTO_TEST_CASE(a_new_daemon_takes_the_configuration_from_peers_while_the_platform_is_down) {
  Cluster cluster(Fleet(3, 1));
  BOOST_TEST(Eventually([&] { return AllAt(cluster, 3, "1"); }));
  cluster.platform().SetFaults({.down = true, .lose_answers = false, .delay_ms = 0});
  cluster.KillDaemon(2);
  cluster.StartDaemon(2);
  BOOST_TEST(cluster.Dumped(2, "revision") == "1");
  BOOST_TEST(cluster.Chat(2, "hello", false).status == 200);
}

BOOST_AUTO_TEST_CASE(a_store_restored_from_an_older_copy_reverts_nothing) {
  Cluster cluster(Fleet(3));
  cluster.platform().SaveCopy();
  BOOST_TEST(cluster.Command(0, "create workspace w").status == 200);
  BOOST_TEST(Eventually([&] { return AllAt(cluster, 3, "2"); }, 4s));
  cluster.platform().RestoreCopy();
  BOOST_TEST(cluster.Command(1, "create workspace x").status == 200);
  BOOST_TEST(Eventually([&] { return AllAt(cluster, 3, "3"); }, 4s));
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(cluster.Dumped(i, "configuration").find("workspace w ") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(the_fleet_serves_on_through_an_outage_of_the_platform) {
  Cluster cluster(Fleet(2, 2));
  cluster.platform().SetFaults({.down = true, .lose_answers = false, .delay_ms = 0});
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(cluster.Chat(i % 2, "prompt " + std::to_string(i), i % 3 == 0).status == 200);
  }
}

BOOST_AUTO_TEST_CASE(a_graceful_shutdown_cuts_off_no_request) {
  ClusterOptions options = Fleet(2, 2);
  options.zones = {"a"};
  options.engine.decode_step = 4ms;
  Cluster cluster(std::move(options));
  std::atomic<bool> go_on{true};
  std::atomic<int> failed{0};
  std::atomic<int> served{0};
  // The test's balancer: sends where /readyz says yes, as the platform's does.
  std::vector<std::thread> callers;
  for (int n = 0; n < 6; ++n) {
    callers.emplace_back([&, n] {
      for (int k = 0; go_on.load(); ++k) {
        const int to = cluster.daemon(1).Ready() && (k + n) % 2 == 0 ? 1 : 0;
        const std::string prompt = std::to_string(n) + " " + std::to_string(k);
        const HttpAnswer answer = cluster.Chat(to, prompt, true, 30);
        const bool whole = TextOf(answer) == ExpectedText(prompt, 30);
        (whole ? served : failed) += 1;
      }
    });
  }
  BOOST_TEST(Eventually([&] { return served.load() > 20; }));
  cluster.daemon(1).BeginShutdown();
  cluster.daemon(1).BeginShutdown();  // SIGTERM twice
  BOOST_TEST(Eventually([&] { return cluster.daemon(1).Drained(); }));
  go_on.store(false);
  for (auto& caller : callers) caller.join();
  BOOST_TEST(failed.load() == 0);
}

BOOST_AUTO_TEST_CASE(a_restarted_daemon_hits_as_well_as_before) {
  for (const bool platform_down : {false, true}) {
    ClusterOptions options = Fleet(2, 3);
    options.zones = {"a"};
    options.engine.cache_blocks = 10'000;
    Cluster cluster(std::move(options));
    const auto cached = [&](int daemon) {
      std::uint64_t sum = 0;
      for (int i = 0; i < 20; ++i) {
        const std::string prompt = std::string(6'000, static_cast<char>('a' + i));
        const auto body = nlohmann::json::parse(cluster.Chat(daemon, prompt, false, 1).body);
        sum += body["usage"]["prompt_tokens_details"]["cached_tokens"].get<std::uint64_t>();
      }
      return sum;
    };
    cached(0);
    const std::uint64_t before = cached(0);
    if (platform_down) {
      cluster.platform().SetFaults({.down = true, .lose_answers = false, .delay_ms = 0});
    }
    cluster.KillDaemon(0);
    cluster.StartDaemon(0);
    const std::uint64_t after = cached(0);
    BOOST_TEST(before > 20U * 1'400);
    BOOST_TEST(after >= before);
  }
}

BOOST_AUTO_TEST_CASE(links_between_daemons_take_only_the_deployments_key) {
  char public_key[41];
  char secret_key[41];
  char other_public[41];
  char other_secret[41];
  zmq_curve_keypair(public_key, secret_key);
  zmq_curve_keypair(other_public, other_secret);
  ClusterOptions options = Fleet(3);
  options.zones = {"a"};
  options.configure = false;
  options.adjust = [&](Settings& settings) {
    const bool stranger = settings.daemon.value() == "d102";
    settings.peer_public_key = stranger ? other_public : public_key;
    settings.peer_secret_key = stranger ? other_secret : secret_key;
  };
  Cluster cluster(std::move(options));
  const auto peers = [&](int i) {
    return nlohmann::json::parse(cluster.Dumped(i, "peers")).size();
  };
  BOOST_TEST(Eventually([&] { return peers(0) == 1 && peers(1) == 1; }));
  BOOST_TEST(peers(2) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
