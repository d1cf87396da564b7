#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <iostream>
#include <sstream>

namespace rig {
namespace {

constexpr char kBase64[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (i + j < bytes.size()) group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool pad = i + j > bytes.size();
      out += pad ? '=' : kBase64[(group >> (18 - 6 * j)) & 63];
    }
  }
  return out;
}

std::string Decode(const std::string& text) {
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const char* at = std::strchr(kBase64, c);
    if (c == '=' || at == nullptr) break;
    group = (group << 6) | static_cast<std::uint32_t>(at - kBase64);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out += static_cast<char>((group >> bits) & 255);
  }
  return out;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t begin = target.find('?');
  if (begin == std::string::npos) return query;
  std::istringstream parts(target.substr(begin + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    const std::size_t equals = part.find('=');
    std::string value;
    for (std::size_t i = equals == std::string::npos ? part.size() : equals + 1; i < part.size();
         ++i) {
      if (part[i] != '%' || i + 2 >= part.size()) {
        value += part[i];
        continue;
      }
      value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
      i += 2;
    }
    query[part.substr(0, equals)] = value;
  }
  return query;
}

sockaddr_in AddressOf(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

void SendAtOnce(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

std::int64_t NowMs() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStart)
      .count();
}

void SleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::ostringstream line;
  line << NowMs() << " ms  " << text << "\n";
  file_ << line.str() << std::flush;
  std::cout << line.str() << std::flush;
}

std::string Message::Field(const std::string& name) const {
  for (const auto& [field, value] : fields) {
    if (Lower(field) == Lower(name)) return value;
  }
  return "";
}

std::string Message::Second() const {
  const std::size_t begin = start.find(' ');
  if (begin == std::string::npos) return "";
  return start.substr(begin + 1, start.find(' ', begin + 1) - begin - 1);
}

int Message::Status() const { return std::atoi(Second().c_str()); }

std::shared_ptr<Connection> Connection::Open(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = AddressOf(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  SendAtOnce(descriptor);
  return std::make_shared<Connection>(descriptor);
}

bool Connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::Fill(int timeout_ms) {
  pollfd poll_request{descriptor_, POLLIN, 0};
  if (timeout_ms < 0 || ::poll(&poll_request, 1, timeout_ms) <= 0) return false;
  char bytes[16384];
  const ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Connection::ReadLine(std::string& line, std::int64_t until) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill(static_cast<int>(until - NowMs()))) return false;
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Connection::ReadBytes(std::string& out, std::size_t count, std::int64_t until) {
  while (count > 0) {
    if (buffer_.empty() && !Fill(static_cast<int>(until - NowMs()))) return false;
    const std::size_t taken = std::min(count, buffer_.size());
    out += buffer_.substr(0, taken);
    buffer_.erase(0, taken);
    count -= taken;
  }
  return true;
}

bool Connection::Read(Message& message, int timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  message = Message();
  if (!ReadLine(message.start, until)) return false;
  for (std::string line; ReadLine(line, until);) {
    if (line.empty()) {
      message.complete = true;
      break;
    }
    const std::size_t colon = line.find(':');
    std::string value = line.substr(std::min(line.size(), colon + 1));
    value.erase(0, value.find_first_not_of(' '));
    message.fields.emplace_back(line.substr(0, colon), value);
  }
  if (!std::exchange(message.complete, false)) return false;
  if (Lower(message.Field("Transfer-Encoding")).ends_with("chunked")) {
    for (std::string line;;) {
      if (!ReadLine(line, until)) return false;
      const std::size_t size = std::stoul(line, nullptr, 16);
      if (!ReadBytes(message.body, size, until) || !ReadLine(line, until)) return false;
      if (size == 0) break;
    }
  } else if (const std::string length = message.Field("Content-Length"); !length.empty()) {
    if (!ReadBytes(message.body, std::stoul(length), until)) return false;
  }
  message.complete = true;
  return true;
}

void Connection::Reset() {
  const linger now{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

void Connection::Close() {
  const int descriptor = descriptor_.exchange(-1);
  if (descriptor >= 0) ::close(descriptor);
}

void Connection::Shut() { ::shutdown(descriptor_, SHUT_RDWR); }

Listener::Listener(const std::string& host, int port, Handler handler)
    : host_(host), handler_(std::move(handler)) {
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf(host, port);
  socklen_t size = sizeof address;
  if (::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(descriptor_, 128) != 0) {
    std::cerr << "cannot listen on " << host << ":" << port << "\n";
    std::exit(kCouldNotRun);
  }
  ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  accepting_ = std::thread([this] { Accept(); });
}

void Listener::Accept() {
  while (!stopped_) {
    pollfd poll_request{descriptor_, POLLIN, 0};
    if (::poll(&poll_request, 1, 20) <= 0) continue;
    const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    SendAtOnce(accepted);
    const auto connection = std::make_shared<Connection>(accepted);
    const std::lock_guard lock(mutex_);
    connections_.push_back(connection);
    threads_.emplace_back([this, connection] { handler_(*connection); });
  }
}

void Listener::Stop() {
  if (stopped_.exchange(true)) return;
  accepting_.join();
  ::close(descriptor_);
  {
    const std::lock_guard lock(mutex_);
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) connection->Shut();
    }
  }
  for (std::thread& thread : threads_) thread.join();
}

Store::Store(const std::string& host, Record& record) : record_(record) {
  expiry_ = std::thread([this] {
    while (!stopped_) {
      SleepMs(5);
      const std::lock_guard lock(mutex_);
      if (down_) continue;
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : leases_) {
        if (NowMs() >= lease.ends_at) ended.push_back(id);
      }
      for (const std::uint64_t id : ended) EndLeaseLocked(id);
    }
  });
  listener_ = std::make_unique<Listener>(host, 0, [this](Connection& c) { Serve(c); });
}

Store::~Store() {
  stopped_ = true;
  changed_.notify_all();
  expiry_.join();
  listener_->Stop();
}

std::uint64_t Store::Put(const std::string& key, const Json& value) {
  const std::lock_guard lock(mutex_);
  PutLocked(key, value.dump(), 0, ++revision_);
  changed_.notify_all();
  record_.Line("store: " + key + " written at revision " + std::to_string(revision_));
  return revision_;
}

void Store::PutText(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  PutLocked(key, value, 0, ++revision_);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  RemoveLocked(key, ++revision_);
  changed_.notify_all();
  record_.Line("store: " + key + " removed");
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value;
}

Json Store::ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", Encode(item.value)},
          {"rev", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void Store::PutLocked(const std::string& key, const std::string& value, std::uint64_t lease,
                      std::uint64_t revision) {
  Item& item = items_[key];
  if (item.created == 0) item.created = revision;
  item.value = value;
  item.revision = revision;
  item.lease = lease;
  events_.push_back(ItemJson(key, item));
}

void Store::RemoveLocked(const std::string& key, std::uint64_t revision) {
  if (items_.erase(key) == 0) return;
  events_.push_back({{"key", key}, {"rev", revision}, {"removed", true}});
}

void Store::EndLeaseLocked(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++revision_;
  for (const std::string& key : keys) RemoveLocked(key, revision_);
  changed_.notify_all();
}

void Store::SetDown(bool down) {
  const std::lock_guard lock(mutex_);
  if (down_ == down) return;
  if (down) down_since_ = NowMs();
  for (auto& [id, lease] : leases_) {
    if (!down) lease.ends_at += NowMs() - down_since_;
  }
  down_ = down;
  changed_.notify_all();
  record_.Line(down ? "store: down" : "store: up again");
}

bool Store::WaitWhileDown() {
  std::unique_lock lock(mutex_);
  const bool was_down = down_;
  while (down_ && !stopped_) changed_.wait_for(lock, std::chrono::milliseconds(100));
  return was_down;
}

void Store::Serve(Connection& connection) {
  Message request;
  while (!stopped_ && connection.Read(request, 600'000)) {
    if (WaitWhileDown()) break;
    const auto [status, body] = Handle(request);
    if (WaitWhileDown()) break;
    if (!connection.Write(Response(status, {{"Content-Type", "application/json"}}, body.dump()))) {
      break;
    }
  }
}

std::pair<int, Json> Store::Handle(const Message& request) {
  const std::string target = request.Second();
  const auto query = QueryOf(target);
  if (target.starts_with("/-/kv-watch")) return Watch(query);
  const std::lock_guard lock(mutex_);
  if (target.starts_with("/-/kv-range")) return Range(query);
  if (target.starts_with("/-/kv-txn")) return Commit(Json::parse(request.body));
  if (target.starts_with("/-/kv-lease-end/")) {
    EndLeaseLocked(std::stoull(target.substr(target.rfind('/') + 1)));
    return {200, Json::object()};
  }
  if (target.starts_with("/-/kv-keep/")) {
    const auto found = leases_.find(std::stoull(target.substr(target.rfind('/') + 1)));
    if (found == leases_.end()) return {404, Json::object()};
    found->second.ends_at = NowMs() + found->second.ttl_ms;
    return {200, {{"ttl_ms", found->second.ttl_ms}}};
  }
  if (target.starts_with("/-/kv-lease")) {
    const std::int64_t ttl = Json::parse(request.body)["ttl_ms"];
    leases_[++last_lease_] = {ttl, NowMs() + ttl};
    return {200, {{"lease", last_lease_}, {"ttl_ms", ttl}}};
  }
  return {404, Json::object()};
}

std::pair<int, Json> Store::Range(const std::map<std::string, std::string>& query) {
  const auto value = [&](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  Json items = Json::array();
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(value("prefix")) || key <= value("after")) continue;
    has_more = items.size() == 500;
    if (has_more) break;
    items.push_back(ItemJson(key, item));
  }
  return {200, {{"items", items}, {"has_more", has_more}, {"store_revision", revision_}}};
}

std::pair<int, Json> Store::Watch(const std::map<std::string, std::string>& query) {
  std::unique_lock lock(mutex_);
  const std::string prefix = query.contains("prefix") ? query.at("prefix") : "";
  const std::uint64_t after = std::stoull(query.at("after"));
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stol(query.at("wait_ms")));
  for (;;) {
    Json events = Json::array();
    for (auto at =
             std::ranges::find_if(events_, [&](const Json& event) { return event["rev"] > after; });
         at != events_.end(); ++at) {
      if ((*at)["key"].get<std::string>().starts_with(prefix)) events.push_back(*at);
    }
    const bool over = stopped_ || std::chrono::steady_clock::now() >= until;
    if (!events.empty() || over) {
      return {200, {{"events", events}, {"store_revision", revision_}}};
    }
    changed_.wait_until(lock, until);
  }
}

std::pair<int, Json> Store::Commit(const Json& call) {
  Json current = Json::array();
  bool holds = true;
  for (const Json& row : call.value("precondition", Json::array())) {
    const std::string key = row["key"];
    const auto found = items_.find(key);
    const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
    if (revision != row["rev"]) holds = false;
    if (found != items_.end()) current.push_back(ItemJson(key, found->second));
  }
  if (!holds) return {412, {{"items", current}}};
  for (const Json& put : call.value("puts", Json::array())) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return {404, Json::object()};
  }
  ++revision_;
  for (const Json& put : call.value("puts", Json::array())) {
    PutLocked(put["key"], Decode(put["value"]), put.value("lease", std::uint64_t{0}), revision_);
  }
  for (const Json& key : call.value("remove", Json::array())) RemoveLocked(key, revision_);
  changed_.notify_all();
  return {200, {{"rev", revision_}}};
}

Instance::Instance(std::string name, std::string host, std::string zone, const std::string& store,
                   std::string folder, const std::map<std::string, std::string>& overrides)
    : name_(std::move(name)), host_(std::move(host)), folder_(std::move(folder)) {
  std::map<std::string, std::string> settings = {
      {"node", name_},
      {"role", "entry"},
      {"machine_class", "edge"},
      {"serves", "edge,ctl"},
      {"ip", host_},
      {"zone", zone},
      {"region", "r"},
      {"zones.a", "r"},
      {"zones.b", "r"},
      {"listen.front", host_ + ":18782"},
      {"listen.ready", host_ + ":18789"},
      {"listen.control", host_ + ":18783"},
      {"internal_ports", "17340,17355"},
      {"seeds", host_ + ":18783"},
      {"bootstrap", "true"},
      {"loss_counts", "false"},
      {"limits.cpu_share", "0.25"},
      {"limits.cores", "1"},
      {"limits.memory_mb", "110"},
      {"limits.max_fds", "4100"},
      {"limits.link_mbps", "1000.0"},
      {"limits.disk_mb", "0"},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeat_ms", "1200"},
      {"contracts", "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform"},
      {"fault_tolerance.machines", "2"},
      {"fault_tolerance.zones", "1"},
      {"fault_tolerance.regions", "0"},
      {"bounds.seed_lag_s", "3"},
      {"bounds.reuse_after_s", "2"},
      {"bounds.contact_ms", "3000"},
      {"bounds.ack_ms", "4000"},
      {"bounds.catch_up_s", "4"},
      {"bounds.drain_ms", "2000"},
      {"bounds.grace_s", "8"},
      {"bounds.loss_slack_ms", "200"},
      {"bounds.config_apply_ms", "2000"},
      {"bounds.downgrade_ms", "250"},
      {"bounds.skew_max_ms", "5000"},
      {"bounds.revoke_strict", "true"},
      {"bounds.revoke_ms", "5000"},
      {"bounds.retry_ratio", "0.2"},
      {"bounds.retry_window_s", "10"},
      {"bounds.retry_slack", "56"},
      {"bounds.recover_s", "12"},
      {"bounds.transit_ms", "120"},
      {"bounds.reuse_window_s", "10"},
      {"bounds.fencing", "false"},
      {"bounds.lease_ms", "3000"},
      {"bounds.thaw_ms", "300"},
      {"bounds.version_ms", "10000"},
      {"bounds.version_all_ms", "14000"},
      {"platform.addr", store},
      {"platform.form", "kv"},
      {"platform.writes_per_s", "400"},
      {"platform.reads_per_s", "2000"},
      {"platform.history_s", "20"},
      {"platform.value_bytes", "1048576"},
      {"platform.ttl_min_ms", "1000"}};
  for (const auto& [key, value] : overrides) settings[key] = value;
  std::ofstream file(folder_ + "/" + name_ + ".conf");
  for (const auto& [key, value] : settings) file << key << "=" << value << "\n";
}

Instance::~Instance() {
  if (pid_ <= 0 || Ended()) return;
  ::kill(pid_, SIGCONT);
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

bool Instance::Start() {
  status_.reset();
  const std::string settings = folder_ + "/" + name_ + ".conf";
  const std::string log = folder_ + "/" + name_ + ".log";
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ != 0) return pid_ > 0;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);
  const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::setenv("RIDGEHOLD_BOOT", settings.c_str(), 1);
  ::execl("target/ridgehold-entry", "target/ridgehold-entry", "--settings", "deploy/entry.ini",
          "--metrics-port", "9464", static_cast<char*>(nullptr));
  ::_exit(127);
}

void Instance::Signal(int signal) {
  if (pid_ > 0 && !Ended()) ::kill(pid_, signal);
}

std::optional<int> Instance::Ended() {
  int status = 0;
  if (!status_ && pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
  return status_;
}

bool Instance::Ready() {
  const auto connection = Connection::Open(host_ + ":18789");
  Message answer;
  return connection && connection->Write("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
         connection->Read(answer, 500) && answer.Status() == 200;
}

bool Instance::WaitReady(int timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until && !Ended()) {
    if (Ready()) return true;
    SleepMs(50);
  }
  return false;
}

Json Config(int version, const std::vector<Route>& routes, const std::vector<Tenant>& tenants) {
  Json route_list = Json::array();
  for (const Route& route : routes) {
    route_list.push_back({{"name", "r-" + std::to_string(route_list.size())},
                          {"host", kHost},
                          {"prefix", route.prefix},
                          {"type", route.type},
                          {"timeout_ms", route.timeout_ms},
                          {"slo_ms", 500},
                          {"priority", 1},
                          {"service", route.service},
                          {"attempts", route.attempts},
                          {"public", route.is_public},
                          {"sticky", route.type == "stream"},
                          {"resumable", route.resumable},
                          {"gap_target_ms", 500}});
  }
  Json tenant_list = Json::array();
  for (const Tenant& tenant : tenants) {
    tenant_list.push_back({{"name", tenant.name},
                           {"api_keys", tenant.keys},
                           {"priority", 1},
                           {"isolated", tenant.isolated}});
  }
  const Json engine = {{"slots", 64},        {"kv_capacity", 99'487},
                       {"kv_bytes", 18'432}, {"link_mbps", 550'000.0},
                       {"max_inflight", 12}, {"models", Json::array({{{"name", "m"}}})}};
  const Json engines = {{"name", kEngines}, {"health_path", "/healthz"},
                        {"max_conns", 370}, {"protocol", "h1"},
                        {"tls", false},     {"engine", engine}};
  const Json plain = {{"name", kPlain},
                      {"health_path", "/healthz"},
                      {"max_conns", 110},
                      {"protocol", "h1"},
                      {"tls", false}};
  return {{"version", version},
          {"routes", route_list},
          {"services", Json::array({engines, plain})},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 4'194'304},
            {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}}},
          {"tenants", tenant_list}};
}

Json PlainEntry(const std::string& address, const std::string& state) {
  return {{"service", kPlain}, {"addr", address}, {"zone", "a"},       {"version", "v1"},
          {"slots", 6},        {"state", state},  {"cold_left_ms", 0}, {"seq", 1}};
}

Json EngineEntry(const std::string& address, int weights, const std::string& state) {
  const Json model = {{"name", "m"}, {"version", weights}, {"adapters", Json::array()}};
  return {{"service", kEngines},
          {"addr", address},
          {"zone", "a"},
          {"version", "v1"},
          {"slots", 64},
          {"state", state},
          {"cold_left_ms", 0},
          {"stage", "both"},
          {"models", Json::array({model})},
          {"seq", 1}};
}

std::string EngineReport(int weights, int orders, int active) {
  const Json model = {{"name", "m"}, {"version", weights}, {"adapters", Json::array()}};
  return Json{{"stage", "both"}, {"models", Json::array({model})},
              {"busy", false},   {"seq", orders},
              {"queued", 0},     {"active", active},
              {"kv_used", 0},    {"kv_total", 99'487},
              {"handles", 0}}
      .dump();
}

std::string OwnHost(int index) {
  const int pid = static_cast<int>(::getpid());
  return "127." + std::to_string(1 + (pid / 250) % 250) + "." + std::to_string(1 + pid % 250) +
         "." + std::to_string(index + 1);
}

std::string Response(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                     const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace rig
