#include "soak_run.h"

#include <sys/wait.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "bounds.h"
#include "test/own_address.h"

namespace ridgehold::soak {
namespace {

constexpr int kEngines = 4;
constexpr int kLeastInstances = 3;
constexpr int kMostInstances = 5;
constexpr int kCallersEach = 6;  // for each instance
constexpr std::chrono::milliseconds kLook{20};
/// A sequence of its own: what seeds drew before there was poison stays as it was.
constexpr std::uint64_t kPoisonSeed = 0x706f69736f6e;
constexpr std::uint64_t kRestingSeed = 0x72657374;
constexpr std::uint64_t kPipelinedSeed = 0x70697065;
constexpr std::uint64_t kKeptSeed = 0x6b657074;
constexpr std::uint64_t kOddSeed = 0x6f6464;
constexpr std::size_t kLargeBody = std::size_t{4} << 20;
constexpr int kOddCallersEach = 3;    // for each instance
constexpr std::size_t kLogLines = 8;  // printed of each instance
/// Time for what still runs when the faults have ended.
constexpr std::chrono::milliseconds kSettle{4'500};
constexpr int kTriesAfterHerd = 6;
/// Least part that is served without faults, or with kinds that must not cost service.
constexpr double kServedCalm = 0.95;
constexpr int kPipelinedCallersEach = 3;  // for each instance
constexpr int kKeptCallersEach = 12;      // for each instance
/// Of an instance's processes, where idle connections are to use them up.
constexpr int kFewDescriptors = 300;
/// Of an instance's process, as on a usual deployment.
constexpr int kMemoryMb = 110;

std::string AddressOf(int instance) {
  constexpr int kFirst = 10;
  return ridgehold::test::OwnAddress(kFirst + instance);
}

std::string PublishedOf(int instance) {
  constexpr int kFirst = 190;
  return ridgehold::test::OwnAddress(kFirst + instance);
}

std::string EgressOf(int instance) {
  constexpr int kFirst = 130;
  return ridgehold::test::OwnAddress(kFirst + instance);
}

}  // namespace

SoakRun::SoakRun(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      io_(1),
      store_(io_.get_executor()),
      operator_(store_.table()),
      ledger_(verdict_, calm_, operator_),
      orders_(verdict_, calm_),
      poison_(verdict_, Random(options_.seed ^ kPoisonSeed)),
      path_check_(verdict_, calm_),
      retry_check_(verdict_),
      kept_check_(verdict_),
      wall_check_(verdict_, operator_),
      peers_(io_.get_executor()),
      resumptions_(verdict_),
      needs_(verdict_),
      faults_(
          {instances_, engines_, store_, operator_, poison_, calm_, path_check_, peers_, verdict_},
          random_.Fork()) {
  ledger_.SetPathCheck(path_check_);
  ledger_.SetRetryCheck(retry_check_);
  for (int i = 0; i < kEngines; ++i) {
    AddEngine(random_.Fork());
    engines_.back()->Register();
  }
  if (options_.instances == 0) {
    options_.instances = random_.Between(kLeastInstances, kMostInstances);
  }
  if (!options_.calm) faults_.Select(options_.faults);
  const bool in_place =
      faults_.Selected(FaultKind::kInPlace) || faults_.Selected(FaultKind::kInPlaceUnborn);
  if (faults_.Selected(FaultKind::kInPlaceUnborn)) {
    for (const auto& engine : engines_) engine->HideStart();
  }
  if (faults_.Selected(FaultKind::kReleases) || in_place) AddReleases();
  if (faults_.Selected(FaultKind::kOutOfStep) || faults_.Selected(FaultKind::kReleaseSeries)) {
    AddRestingEngines();
  }
  if (faults_.Selected(FaultKind::kBlackout)) FillStore();
  if (faults_.Selected(FaultKind::kOddAnswers)) operator_.SetMaxBody(kLargeBody);
}

void SoakRun::AddEngine(Random random) {
  engines_.push_back(std::make_unique<SoakEngine>(
      io_.get_executor(), "e" + std::to_string(engines_.size()),
      SoakEngine::Judges{ledger_, orders_, poison_, calm_, needs_, retry_check_, wall_check_},
      store_.table(), random));
}

void SoakRun::AddRestingEngines() {
  Random random(options_.seed ^ kRestingSeed);
  for (int i = 0; i < kEngines; ++i) {
    AddEngine(random.Fork());
    engines_.back()->Rest();
  }
  EnableResumptions({FaultKind::kKeys, FaultKind::kOutOfStep, FaultKind::kReleaseSeries},
                    kTriesAfterHerd);
}

void SoakRun::FillStore() {
  constexpr int kItems = 400;
  constexpr std::size_t kItemBytes = 150;
  constexpr std::size_t kPageSize = 60;
  // A whole listing takes half a second of the link.
  constexpr std::size_t kBytesPerSecond = 250'000;
  store_.SetPageSize(kPageSize);
  // Nothing that an instance would use.
  for (int i = 0; i < kItems; ++i) {
    store_.table().Put("other/" + std::to_string(i), std::string(kItemBytes, 'x'));
  }
  store_link_ = std::make_shared<SharedLink>(kBytesPerSecond);
}

void SoakRun::AddReleases() {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    engines_[i]->SetRelease(i % 2 == 0 ? "v1" : "v2");
    engines_[i]->Register();
  }
  // Other faults take instances or engines out of touch, or fail streams that are taken up more
  // often than new ones.
  const std::set<FaultKind> allowed = {FaultKind::kStop,         FaultKind::kKill,
                                       FaultKind::kEngineBreaks, FaultKind::kKeys,
                                       FaultKind::kWeights,      FaultKind::kReleases};
  EnableResumptions(allowed, faults_.Selected(FaultKind::kHerd) ? kTriesAfterHerd : 0);
}

void SoakRun::EnableResumptions(std::set<FaultKind> judged, int tries) {
  const auto serving = [this](const std::string& release) {
    return static_cast<int>(std::ranges::count_if(engines_, [&](const auto& engine) {
      return engine->serving() && engine->release() == release;
    }));
  };
  const bool is_judged = !options_.faults.empty() && std::ranges::includes(judged, options_.faults);
  resumptions_.Enable(serving, is_judged, tries);
}

void SoakRun::AddPaths(Instance& instance, const std::string& egress) {
  const auto host = net::ip::make_address(egress);
  for (const auto& engine : engines_) {
    const std::string target = engine->proxy().address();
    instance.paths.push_back(std::make_shared<InstancePath>(
        io_.get_executor(), target, tcp::endpoint(host, ParseEndpoint(target).port())));
    engine->AddPath(instance.paths.back());
  }
}

void SoakRun::StartInstances() {
  const bool cuts_peers = faults_.Selected(FaultKind::kOutOfStep);
  std::string seeds;
  for (int i = 0; i < std::min(options_.instances, kLeastInstances); ++i) {
    seeds += (i == 0 ? "" : ",") + (cuts_peers ? PublishedOf(i) : AddressOf(i)) + ":" +
             std::to_string(kControlPort);
  }
  const bool cuts_paths = faults_.Selected(FaultKind::kPath);
  for (int i = 0; i < options_.instances; ++i) {
    auto instance = std::make_unique<Instance>(io_.get_executor(), store_.address());
    instance->store_proxy.SetSharedLink(store_link_);
    const InstancePlace place{.name = "entry-" + std::to_string(i),
                              .address = AddressOf(i),
                              .store_address = instance->store_proxy.address(),
                              .seeds = seeds,
                              .egress = cuts_paths ? EgressOf(i) : "",
                              .published = cuts_peers ? PublishedOf(i) : "",
                              .surroundings = SurroundingsOfAll()};
    if (cuts_peers) peers_.Add(place.published, place.address);
    if (cuts_paths) AddPaths(*instance, place.egress);
    instance->process = std::make_unique<InstanceProcess>(place, options_.program, options_.folder);
    path_check_.Add(*instance->process);
    instance->process->Start();
    instances_.push_back(std::move(instance));
  }
}

void SoakRun::StartCallers() {
  for (const auto& instance : instances_) {
    for (int i = 0; i < kCallersEach; ++i) {
      const std::string name = "r" + std::to_string(callers_.size());
      callers_.push_back(std::make_shared<Caller>(name, *instance->process, ledger_, operator_,
                                                  poison_, resumptions_, random_.Fork()));
      net::co_spawn(io_, callers_.back()->Run(), net::detached);
    }
  }
}

void SoakRun::StartPipelinedCallers() {
  // What other kinds draw stays as it is.
  Random random(options_.seed ^ kPipelinedSeed);
  for (const auto& instance : instances_) {
    for (int i = 0; i < kPipelinedCallersEach; ++i) {
      const std::string name = "p" + std::to_string(pipelined_callers_.size());
      pipelined_callers_.push_back(std::make_shared<PipelinedCaller>(
          name, *instance->process, ledger_, operator_, random.Fork()));
      net::co_spawn(io_, pipelined_callers_.back()->Run(), net::detached);
    }
  }
}

void SoakRun::StartKeptCallers() {
  // What other kinds draw stays as it is.
  Random random(options_.seed ^ kKeptSeed);
  for (const auto& instance : instances_) {
    for (int i = 0; i < kKeptCallersEach; ++i) {
      const std::string name = "k" + std::to_string(kept_callers_.size());
      kept_callers_.push_back(std::make_shared<KeptCaller>(name, *instance->process, ledger_,
                                                           operator_, kept_check_, random.Fork()));
      net::co_spawn(io_, kept_callers_.back()->Run(), net::detached);
    }
  }
}

void SoakRun::StartOddCallers() {
  const OddRequests requests{.unframed = faults_.Selected(FaultKind::kOddRequests),
                             .large = faults_.Selected(FaultKind::kOddAnswers)};
  if (!requests.unframed && !requests.large) return;
  // What other kinds draw stays as it is.
  Random random(options_.seed ^ kOddSeed);
  for (const auto& instance : instances_) {
    for (int i = 0; i < kOddCallersEach; ++i) {
      const std::string name = "o" + std::to_string(odd_callers_.size());
      odd_callers_.push_back(std::make_shared<OddCaller>(
          name, *instance->process, requests, ledger_, operator_, verdict_, random.Fork()));
      net::co_spawn(io_, odd_callers_.back()->Run(), net::detached);
    }
  }
}

Surroundings SoakRun::SurroundingsOfAll() const {
  const bool floods = faults_.Selected(FaultKind::kIdleFlood);
  const bool endless = faults_.Selected(FaultKind::kEndless);
  return {.unread_output = faults_.Selected(FaultKind::kUnreadOutput),
          .max_descriptors = floods ? kFewDescriptors : 0,
          .metrics = floods || endless,
          .memory_mb = endless ? kMemoryMb : 0};
}

bool SoakRun::Play() {
  StartInstances();
  StartCallers();
  if (faults_.Selected(FaultKind::kPipelined)) StartPipelinedCallers();
  if (faults_.Selected(FaultKind::kStall)) StartKeptCallers();
  StartOddCallers();
  net::co_spawn(io_, WatchProcesses(), net::detached);
  net::co_spawn(io_, Script(), [this](const std::exception_ptr& error) {
    io_.stop();
    if (error) std::rethrow_exception(error);
  });
  io_.run();
  return !verdict_.first();
}

net::awaitable<void> SoakRun::Script() {
  const TimePoint end = Clock::now() + options_.length;
  const TimePoint faults_end =
      end - random_.Milliseconds(
                0, static_cast<int>(std::chrono::milliseconds(options_.length).count()) * 3 / 4);
  if (!options_.calm) faults_.Start(io_.get_executor(), faults_end);
  while (!verdict_.first() && (Clock::now() < end || calm_.active())) co_await Sleep(kLook);
  JudgeServed();
  path_check_.Judge();
  retry_check_.Judge();
  resumptions_.Judge();
  kept_check_.Judge();
  if (!verdict_.first()) co_await StopAll();
}

void SoakRun::JudgeServed() {
  // Each caller may wait for one answer now.
  const int at_work = options_.calm ? 0 : static_cast<int>(callers_.size());
  // Entries of others, logs and idle connections are no reason to refuse a call.
  const std::set<FaultKind> costless = {FaultKind::kOddEntries, FaultKind::kUnreadOutput,
                                        FaultKind::kIdleFlood};
  const bool judged = options_.calm || (!options_.faults.empty() &&
                                        std::ranges::includes(costless, options_.faults));
  if (!judged || ledger_.served() >= (ledger_.sent() - at_work) * kServedCalm) return;
  verdict_.Fail("too few are served", "all", std::to_string(ledger_.served()));
}

net::awaitable<void> SoakRun::StopAll() {
  for (const auto& instance : instances_) {
    net::co_spawn(io_, faults_.Terminate(*instance), net::detached);
  }
  const TimePoint limit = Clock::now() + kSettle;
  for (bool running = true; running && Clock::now() < limit;) {
    running = false;
    for (const auto& instance : instances_) running = running || instance->process->Running();
    co_await Sleep(kLook);
  }
  for (const auto& caller : callers_) caller->Stop();
  for (const auto& caller : pipelined_callers_) caller->Stop();
  for (const auto& caller : kept_callers_) caller->Stop();
  for (const auto& caller : odd_callers_) caller->Stop();
}

net::awaitable<void> SoakRun::WatchProcesses() {
  for (;;) {
    for (const auto& instance : instances_) {
      if (instance->process->ExceedsMemory()) {
        verdict_.Fail("process exceeds its memory", instance->process->place().name, "");
      }
      if (instance->ending || instance->process->Running()) continue;
      const int status = instance->process->status();
      verdict_.Fail("process ends by itself", instance->process->place().name,
                    WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "status " + std::to_string(WEXITSTATUS(status)));
    }
    co_await Sleep(kLook);
  }
}

std::string SoakRun::SurroundingText() const {
  const SurroundingCounts& counts = faults_.counts();
  int refused = 0;
  for (const auto& caller : odd_callers_) refused += caller->refused();
  return std::to_string(counts.hang_ups) + " hangups (" +
         std::to_string(counts.starts_with_hang_ups) + " starts with some), " +
         std::to_string(counts.taken_ports) + " taken ports, " +
         std::to_string(counts.idle_connections) + " idle connections, " +
         std::to_string(counts.endless_senders) + " endless requests, " +
         std::to_string(counts.stalls) + " stalls beside " + std::to_string(counts.configurations) +
         " configurations, " + std::to_string(kept_check_.judged()) +
         " requests on kept connections (" + std::to_string(kept_check_.unanswered()) +
         " unanswered, " + std::to_string(kept_check_.closed_while_idle()) + " found closed), " +
         std::to_string(refused) + " requests without a known length refused, " +
         std::to_string(wall_check_.shared()) + " uses of cache of others, ";
}

std::string SoakRun::Summary() {
  const auto length = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - started_);
  std::string text =
      "seed " + std::to_string(options_.seed) + ": " + std::to_string(instances_.size()) +
      " instances, " + std::to_string(ledger_.sent()) + " requests, " +
      std::to_string(ledger_.served()) + " served, " + std::to_string(ledger_.lost()) +
      " cut off, " + std::to_string(poison_.ends()) + " engines ended (" +
      std::to_string(poison_.most_ends()) + " by one request or part), " +
      std::to_string(needs_.arrived()) + " requests at engines in need, " +
      std::to_string(path_check_.served()) + " of " + std::to_string(path_check_.counted()) +
      " served at instances without a way, " + std::to_string(retry_check_.retries()) +
      " retries, " + std::to_string(resumptions_.began()) + " of " +
      std::to_string(resumptions_.sent()) + " streams went on, " + std::to_string(peers_.passed()) +
      " messages between instances (" + std::to_string(peers_.lost()) + " lost), " +
      std::to_string(needs_.falls()) + " brittle engines fell, weights " +
      std::to_string(operator_.weights()) + " (" + std::to_string(orders_.handovers()) +
      " handovers), " + SurroundingText() + std::to_string(length.count()) + " s";
  const auto& violation = verdict_.first();
  if (!violation) return text + ", all promises kept\n";
  text += "\nBROKEN: " + violation->promise + ": " + violation->request + ": " + violation->detail +
          "\n";
  for (const auto& instance : instances_) {
    text += instance->process->place().name + ", last lines of " + options_.folder.string() +
            ":\n" + instance->process->LastLogLines(kLogLines);
  }
  return text;
}

}  // namespace ridgehold::soak
