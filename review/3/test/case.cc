// The replicas of a service crash and start again, each as a new boot at its address. The processes
// of all entry instances are killed and started again before the entries of the ended boots lapse.

#include <array>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>

#include "../../test/world.h"

namespace review {
namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr int kReplicas = 4;
constexpr int kEntries = 3;
constexpr int kCallers = 12;
constexpr auto kLapse = 3'600ms;  // three ping intervals
constexpr auto kRecover = 12s;    // bounds.recover_s

std::string Config() {
  return Json{{"version", 1},
              {"routes",
               {{{"name", "r-safe"},
                 {"host", "h.example"},
                 {"prefix", "/safe/"},
                 {"type", "safe"},
                 {"timeout_ms", 3'000},
                 {"slo_ms", 300},
                 {"priority", 2},
                 {"service", "app"},
                 {"attempts", 2},
                 {"public", false}}}},
              {"services", {{{"name", "app"}, {"health_path", "/healthz"}, {"max_conns", 110}}}},
              {"limits",
               {{"max_header_bytes", 16'384},
                {"max_body_bytes", 4'194'304},
                {"header_timeout_ms", 3'000},
                {"idle_timeout_ms", 15'000}}},
              {"tenants", {{{"name", "t"}, {"api_keys", {"key-t"}}, {"priority", 1}}}}}
      .dump();
}

/// Ids of the boots of the replicas: first, and after the crash.
constexpr std::array<const char*, kReplicas> kFirstIds = {"i-c41d07be2a", "i-8f3a91c2d0",
                                                          "i-e607784088", "i-dba3a38933"};
constexpr std::array<const char*, kReplicas> kSecondIds = {"i-36ec89ad55", "i-0f68a09660",
                                                           "i-74ae8ad5ef", "i-62aab10f28"};

class Case {
 public:
  Case(const std::string& folder, const std::string& record) : folder_(folder), record_(record) {}

  int Run() {
    // The stand-ins' threads run until the process ends, so they are never destroyed.
    Store& store = *new Store(OwnAddress(1));
    if (!store.valid()) return kCouldNotRun;
    store.Put("op/config", Config());
    auto& replicas = *new std::vector<std::unique_ptr<Replica>>;
    for (int i = 0; i < kReplicas; ++i) {
      replicas.push_back(Boot(store, kFirstIds[Index(i)], 0));
      if (!replicas.back()->valid()) return kCouldNotRun;
    }
    std::vector<std::unique_ptr<EntryProcess>> entries;
    for (int i = 0; i < kEntries; ++i) {
      EntryProcess::Options options;
      options.name = "edge-" + std::to_string(i + 1);
      options.address = EntryAddress(i);
      options.store_address = store.address();
      options.seeds = EntryAddress(0) + ":8783," + EntryAddress(1) + ":8783";
      options.folder = folder_;
      entries.push_back(std::make_unique<EntryProcess>(options));
      if (!entries.back()->Start()) return kCouldNotRun;
    }
    const auto all_ready = [&] {
      for (const auto& entry : entries) {
        if (!entry->Ready()) return false;
      }
      return true;
    };
    if (!WaitUntil(all_ready, 20s)) return kCouldNotRun;
    record_.Write("all entry instances are ready");
    SleepFor(1s);
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { CallRequests(i); });
    }
    SleepFor(10s);
    phase_ = 1;
    std::thread lapse;
    if (Plays("crash")) {
      record_.Write("all replicas of the service crash");
      for (const auto& replica : replicas) replica->Exit();
      lapse = std::thread([this, &store] {
        SleepFor(kLapse);
        for (const char* id : kFirstIds) store.Remove(std::string("servers/") + id);
        record_.Write("the entries of the crashed boots have lapsed");
      });
      SleepFor(1s);
      for (int i = 0; i < kReplicas; ++i) {
        replicas.push_back(Boot(store, kSecondIds[Index(i)], replicas[Index(i)]->port()));
        if (!replicas.back()->valid()) return kCouldNotRun;
      }
      record_.Write("the replicas are back, with new ids at the same addresses");
    }
    SleepFor(500ms);
    if (Plays("kill")) {
      record_.Write("SIGKILL of all entry instances");
      for (const auto& entry : entries) entry->Kill();
      SleepFor(500ms);
      for (const auto& entry : entries) {
        if (!entry->Start()) return kCouldNotRun;
      }
      record_.Write("all entry instances are started again");
    }
    SleepFor(kRecover);
    phase_ = 2;
    record_.Write("recover_s has passed");
    SleepFor(15s);
    phase_ = 3;
    if (lapse.joinable()) lapse.join();
    for (std::thread& caller : callers) caller.join();
    return Judge();
  }

 private:
  static std::size_t Index(int i) { return static_cast<std::size_t>(i); }
  static std::string EntryAddress(int entry) { return OwnAddress(11 + entry); }

  std::unique_ptr<Replica> Boot(Store& store, const std::string& id, std::uint16_t port) {
    const auto handler = [this, id](const Request& request, Socket& socket) {
      SleepFor(15ms);
      const std::string name = request.Field("x-request-id");
      record_.Write(id + " runs " + name);
      return SendResponse(socket, request, 200, "X-Signature: s." + name + "\r\n",
                          std::string(800, '.'));
    };
    auto replica = std::make_unique<Replica>(store, OwnAddress(2),
                                             Replica::Entry{id, "app", "v1", false}, handler, port);
    if (replica->valid()) replica->Register();
    return replica;
  }

  void CallRequests(int caller) {
    for (int i = 0; phase_ < 3; ++i) {
      const int phase = phase_;
      const std::string id = "p" + std::to_string(caller) + "-" + std::to_string(i);
      const std::string head = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
                               "\r\nAuthorization: Bearer key-t\r\nX-Deadline-Ms: 3000\r\n\r\n";
      const Answer answer = Call(EntryAddress((caller + i) % kEntries), head, "", 3s);
      const bool served = answer.status == 200 && answer.complete;
      ++sent_[Index(phase)];
      served_[Index(phase)] += served ? 1 : 0;
      record_.Write("client: " + id + ": status " + std::to_string(answer.status) +
                    (answer.head.Field("x-ridgehold-code").empty()
                         ? ""
                         : ", code " + answer.head.Field("x-ridgehold-code")));
      SleepFor(100ms);
    }
  }

  int Judge() {
    const auto line = [&](const char* when, int phase) {
      const std::string text = std::string(when) + ": " + std::to_string(served_[Index(phase)]) +
                               " of " + std::to_string(sent_[Index(phase)]) + " requests served";
      record_.Write(text);
      std::printf("%s\n", text.c_str());
    };
    line("before the fault", 0);
    line("later than recover_s after it", 2);
    const bool sound_before = sent_[0] > 0 && served_[0] * 4 >= sent_[0];
    if (!sound_before || sent_[2] == 0) return kCouldNotRun;
    return served_[2] * 4 < sent_[2] ? kBroken : kHeld;
  }

  std::string folder_;
  Record record_;
  std::atomic<int> phase_{0};
  std::array<std::atomic<int>, 4> sent_{};
  std::array<std::atomic<int>, 4> served_{};
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return review::kCouldNotRun;
  auto* const run = new review::Case(argv[1], argv[2]);
  const int result = run->Run();
  std::fflush(stdout);
  // The entry processes have ended; the stand-ins' threads end with this process.
  std::_Exit(result);
}
