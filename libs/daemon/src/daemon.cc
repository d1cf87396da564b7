#include "daemon/daemon.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/random_id.h"
#include "daemon/claimed_calls.h"
#include "daemon/config_sync.h"
#include "daemon/engine_monitor.h"
#include "dispatch/dispatcher.h"
#include "dump.h"
#include "frontend/caller_listener.h"
#include "frontend/operator_listener.h"
#include "frontend/operator_service.h"
#include "http/client.h"
#include "http/server.h"
#include "log/log.h"
#include "membership/peer_mesh.h"
#include "metrics/metrics.h"
#include "reload/weight_reloader.h"

namespace ridgehold {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kControlTick{20};
// Looking through all backend servers costs too much for every tick.
constexpr std::chrono::milliseconds kScanPause{50};
constexpr std::chrono::milliseconds kReloadTick{500};
constexpr std::chrono::milliseconds kOrderTimeout{5'000};
constexpr std::size_t kOperatorThreads = 2;
// What a block costs in the picture; measured by bench/decision-bench.
constexpr std::size_t kPictureBytesPerBlock = 64;
// A request to another zone is worth it only if it saves more than this.
constexpr Duration kOtherZoneDistance{10'000};
// After this long without the engines' lists, serving beats waiting.
constexpr std::chrono::milliseconds kLongestPictureWait{2'000};

/// Begins with the start time in fixed width, so that a later start sorts
/// behind an earlier one.
Incarnation MakeIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(ms));
  return Incarnation(std::string(text.data()) + "-" + RandomId().substr(0, 8));
}

HttpServerOptions CallerServer(const Settings& settings) {
  HttpServerOptions options;
  options.address = settings.caller_address;
  options.port = settings.caller_port;
  options.threads = settings.worker_threads;
  // The server just closes the connection beyond its limit; up to there the
  // listener answers with the code for it.
  options.max_body_bytes = 2 * settings.max_body_bytes;
  options.max_header_bytes = settings.max_header_bytes;
  options.max_connections = settings.max_connections;
  options.write_timeout = settings.write_timeout;
  return options;
}

HttpServerOptions OperatorServer(const Settings& settings) {
  HttpServerOptions options;
  options.address = settings.operator_address;
  options.port = settings.operator_port;
  options.threads = kOperatorThreads;
  return options;
}

PeerMeshOptions Mesh(const Settings& settings) {
  return {settings.peer_address, settings.peer_port, settings.peer_public_key,
          settings.peer_secret_key, settings.peer_previous_public_key};
}

DispatchLimits Limits(const Settings& settings) {
  return {settings.first_token_deadline, settings.stall_timeout, settings.service_timeout,
          settings.stream_buffer_bytes,  settings.max_tries,     settings.retry_budget_percent};
}

ConfigSync::Options SyncOptions(const Settings& settings) {
  return {settings.platform_url, settings.platform_timeout, settings.platform_poll,
          settings.heartbeat, settings.peer_seeds};
}

EngineMonitor::Options MonitorOptions(const Settings& settings) {
  EngineMonitor::Options options;
  options.events = settings.event_poll.count() > 0;
  options.poll = options.events ? settings.event_poll : settings.load_poll;
  return options;
}

}  // namespace

/// Members are destroyed from the last to the first: listeners before what
/// their requests use, the HTTP clients before the tables their callbacks use.
struct Daemon::Impl {
  explicit Impl(const Settings& daemon_settings)
      : settings(daemon_settings),
        identity{settings.daemon, settings.zone, MakeIncarnation()},
        router(settings.zone, kOtherZoneDistance,
               settings.cache_index_bytes / kPictureBytesPerBlock),
        in_flight(settings.max_in_flight) {}

  Settings settings;
  DaemonIdentity identity;
  Metrics metrics;
  Router router;
  InFlightTable in_flight;
  std::unique_ptr<HttpClient> control_client;
  std::unique_ptr<HttpClient> data_client;
  std::unique_ptr<ConfigSync> sync;
  std::unique_ptr<EngineMonitor> monitor;
  std::unique_ptr<PeerMesh> mesh;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<ClaimedCalls> claimed_calls;
  std::unique_ptr<CallerListener> caller_listener;
  std::unique_ptr<OperatorService> operator_service;
  std::unique_ptr<OperatorListener> operator_listener;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> operator_server;

  TimePoint started = Clock::now();
  std::atomic<bool> ready{false};
  std::atomic<bool> shutting_down{false};
  std::atomic<Clock::rep> refuse_from{0};
  std::atomic<bool> stopping{false};
  std::thread control_thread;
  std::thread reload_thread;

  Result<void> Open() {
    BOOST_LEAF_ASSIGN(control_client, HttpClient::Create());
    BOOST_LEAF_ASSIGN(data_client, HttpClient::Create());
    OpenSync();
    monitor =
        std::make_unique<EngineMonitor>(router, *control_client, metrics, MonitorOptions(settings));
    BOOST_LEAF_ASSIGN(
        mesh, PeerMesh::Create(Mesh(settings), metrics, [this](const wire::PeerMessage& message) {
          sync->TakePeerMessage(message);
        }));
    dispatcher = std::make_unique<Dispatcher>(router, *data_client, metrics, Limits(settings));
    claimed_calls =
        std::make_unique<ClaimedCalls>(sync->store(), *dispatcher, settings.service_timeout);
    BOOST_LEAF_CHECK(OpenCallerSide());
    BOOST_LEAF_CHECK(OpenOperatorSide());
    sync->Start(*mesh);
    control_thread = std::thread([this] { RunControl(); });
    reload_thread = std::thread([this] { RunReloads(); });
    return {};
  }

  void OpenSync() {
    ConfigSyncCallbacks callbacks;
    callbacks.on_config = [this](const std::shared_ptr<const Config>& config) {
      router.Update(*config);
    };
    callbacks.on_leaving = [this](const std::set<BackendId>& leaving) {
      router.SetLeaving(leaving);
    };
    sync = std::make_unique<ConfigSync>(identity, SyncOptions(settings), *control_client, metrics,
                                        std::move(callbacks));
  }

  Result<void> OpenCallerSide() {
    caller_listener = std::make_unique<CallerListener>(CallerListenerParts{
        .dispatcher = *dispatcher,
        .metrics = metrics,
        .in_flight = in_flight,
        .max_body_bytes = settings.max_body_bytes,
        .config = [this] { return sync->config(); },
        .revision = [this] { return sync->revision(); },
        .ready = [this] { return ready.load() && !shutting_down.load(); },
        .run_claimed = [this](ClaimedCall claimed) { claimed_calls->Run(std::move(claimed)); },
    });
    BOOST_LEAF_ASSIGN(caller_server,
                      HttpServer::Create(CallerServer(settings),
                                         [this](HttpRequest request, const Responder& responder) {
                                           caller_listener->Handle(std::move(request), responder);
                                         }));
    return {};
  }

  Result<void> OpenOperatorSide() {
    operator_service = std::make_unique<OperatorService>(OperatorServiceParts{
        .daemon = identity.id,
        .zone = identity.zone,
        .router = router,
        .in_flight = in_flight,
        .config = [this] { return sync->config(); },
        .revision = [this] { return sync->revision(); },
        .zones = [this] { return sync->Zones(Clock::now()); },
        .peers = [this] { return sync->Peers(Clock::now()); },
        .change_status = [this](const ChangeId& id) { return sync->StatusOf(id); },
        .submit = [this](
                      const std::string& script, std::optional<Revision> expected,
                      const std::string& author) { return sync->Submit(script, expected, author); },
    });
    operator_listener = std::make_unique<OperatorListener>(
        *operator_service, metrics, settings.operator_key_sha256, [this] { return Dump(); });
    BOOST_LEAF_ASSIGN(
        operator_server,
        HttpServer::Create(OperatorServer(settings),
                           [this](const HttpRequest& request, const Responder& responder) {
                             operator_listener->Handle(request, responder);
                           }));
    return {};
  }

  void RunControl() {
    TimePoint next_scan{};
    while (!stopping.load()) {
      const TimePoint now = Clock::now();
      sync->Tick(now);
      if (now >= next_scan) {
        next_scan = now + kScanPause;
        monitor->Poll(now);
        MarkLeaving();
      }
      UpdateReady(now);
      CheckLameDuck(now);
      std::this_thread::sleep_for(kControlTick);
    }
  }

  /// Waits for the platform, so it has a thread of its own. Only the zone's
  /// relay orders reloads.
  void RunReloads() {
    WeightReloader<EtcdGateway> reloader(ReloadRole<EtcdGateway>(sync->store(), identity.id, {}),
                                         ReloadPlan(identity.zone),
                                         [this](const ReloadOrder& order, std::uint64_t fencing) {
                                           return SendOrder(order, fencing);
                                         });
    TimePoint next{};
    while (!stopping.load()) {
      std::this_thread::sleep_for(kControlTick);
      const TimePoint now = Clock::now();
      if (now < next) continue;
      next = now + kReloadTick;
      if (sync->IsRelay(now)) reloader.Step(*sync->config(), router.Rows(), now);
    }
  }

  bool SendOrder(const ReloadOrder& order, std::uint64_t fencing) {
    HttpCall call;
    call.method = "POST";
    call.url = order.url + "/ridgehold/orders";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = json{
        {"weights", order.to.value()},
        {"if_weights", order.from.value()},
        {"fencing",
         fencing}}.dump();
    call.total_timeout = kOrderTimeout;
    const int status = ValueOr(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(answer, control_client->Fetch(std::move(call)));
          return answer.status;
        },
        [](const Failure&) { return 0; });
    Log(LogLevel::kInfo, "ordered a reload",
        {{"backend", order.engine.value()},
         {"weights", order.to.value()},
         {"fencing", std::to_string(fencing)},
         {"status", std::to_string(status)}});
    constexpr int kOk = 200;
    return status == kOk;
  }

  void MarkLeaving() {
    std::set<BackendId> leaving;
    for (const BackendState& row : router.Rows()) {
      if (row.leaving) leaving.insert(row.server.id);
    }
    sync->SetOwnMarks(leaving);
  }

  void UpdateReady(TimePoint now) {
    if (ready.load() || !sync->Loaded()) return;
    const bool has_picture = sync->revision().value() > 0 && monitor->FirstSyncDone();
    if (!has_picture && now - started < kLongestPictureWait) return;
    ready.store(true);
    Log(LogLevel::kInfo, "ready", {{"revision", std::to_string(sync->revision().value())}});
  }

  void CheckLameDuck(TimePoint now) {
    const Clock::rep from = refuse_from.load();
    if (from != 0 && now.time_since_epoch().count() >= from) caller_listener->RefuseNew();
  }

  std::string Dump() const {
    return MakeDump(identity, {ready.load(), shutting_down.load()}, *sync, router, in_flight);
  }

  void Close() {
    stopping.store(true);
    if (control_thread.joinable()) control_thread.join();
    if (reload_thread.joinable()) reload_thread.join();
    if (sync) sync->Stop();
    // No new requests; then no new calls; then the running transfers end, and
    // their sessions answer through servers that are closed but still there.
    if (caller_server) caller_server->Close();
    if (operator_server) operator_server->Close();
    if (claimed_calls) claimed_calls->Stop();
    mesh.reset();
    data_client.reset();
    control_client.reset();
  }
};

Daemon::Daemon(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Daemon::~Daemon() { impl_->Close(); }

Result<std::unique_ptr<Daemon>> Daemon::Create(const Settings& settings) {
  std::unique_ptr<Daemon> daemon(new Daemon(std::make_unique<Impl>(settings)));
  BOOST_LEAF_CHECK(daemon->impl_->Open());
  Log(LogLevel::kInfo, "listening",
      {{"daemon", settings.daemon.value()},
       {"zone", settings.zone.value()},
       {"caller", daemon->caller_url()},
       {"operator", daemon->operator_url()},
       {"peers", daemon->peer_address()}});
  return daemon;
}

std::uint16_t Daemon::caller_port() const { return impl_->caller_server->port(); }

std::uint16_t Daemon::operator_port() const { return impl_->operator_server->port(); }

std::string Daemon::peer_address() const { return impl_->mesh->address(); }

std::string Daemon::caller_url() const {
  return "http://" + impl_->settings.caller_address + ":" + std::to_string(caller_port());
}

std::string Daemon::operator_url() const {
  return "http://" + impl_->settings.operator_address + ":" + std::to_string(operator_port());
}

bool Daemon::Ready() const { return impl_->ready.load() && !impl_->shutting_down.load(); }

void Daemon::BeginShutdown() {
  if (impl_->shutting_down.exchange(true)) return;
  impl_->caller_server->CloseConnectionsAfterAnswer();
  impl_->sync->SetLeaving();
  const TimePoint from = Clock::now() + impl_->settings.lame_duck;
  impl_->refuse_from.store(from.time_since_epoch().count());
  Log(LogLevel::kInfo, "shutting down", {{"in_flight", std::to_string(impl_->in_flight.size())}});
}

bool Daemon::Drained() const {
  const Clock::rep from = impl_->refuse_from.load();
  const bool lame_duck_over = from != 0 && Clock::now().time_since_epoch().count() >= from;
  return lame_duck_over && impl_->in_flight.size() == 0;
}

std::string Daemon::Dump() const { return impl_->Dump(); }

}  // namespace ridgehold
