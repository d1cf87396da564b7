#include "membership/peer_mesh.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "base/ids.h"
#include "log/log.h"
#include "metrics/metrics.h"

namespace ridgehold {
namespace {

constexpr int kQueuedMessages = 256;
constexpr int kReconnectMs = 100;
constexpr int kLongestReconnectMs = 2'000;
constexpr std::int64_t kMaxMessageBytes = std::int64_t{8} << 20;
constexpr std::chrono::seconds kIdleLinkLife{60};
constexpr std::chrono::milliseconds kPollTime{1'000};
constexpr char kWakeEndpoint[] = "inproc://wake";
constexpr char kZapEndpoint[] = "inproc://zeromq.zap.01";

struct Link {
  zmq::socket_t socket;
  TimePoint last_used;
};

struct Outgoing {
  std::string address;
  std::string bytes;
};

}  // namespace

struct PeerMesh::Impl {
  Impl(const PeerMeshOptions& mesh_options, Metrics& mesh_metrics, PeerHandler mesh_handler)
      : options(mesh_options),
        handler(std::move(mesh_handler)),
        sent(mesh_metrics.GetCounter("ridgehold_peer_sent")),
        sent_bytes(mesh_metrics.GetCounter("ridgehold_peer_sent_bytes")),
        received(mesh_metrics.GetCounter("ridgehold_peer_received")),
        received_bytes(mesh_metrics.GetCounter("ridgehold_peer_received_bytes")),
        dropped(mesh_metrics.GetCounter("ridgehold_peer_dropped")),
        malformed(mesh_metrics.GetCounter("ridgehold_peer_malformed")) {}

  PeerMeshOptions options;
  PeerHandler handler;
  Counter& sent;
  Counter& sent_bytes;
  Counter& received;
  Counter& received_bytes;
  Counter& dropped;
  Counter& malformed;

  zmq::context_t context{1};
  zmq::socket_t zap{context, zmq::socket_type::rep};
  zmq::socket_t pull{context, zmq::socket_type::pull};
  zmq::socket_t wake_in{context, zmq::socket_type::pull};
  std::string address;
  std::map<std::string, Link> links;
  std::atomic<bool> stopping{false};
  std::thread thread;

  std::mutex mutex;  // guards what follows
  zmq::socket_t wake_out{context, zmq::socket_type::push};
  std::vector<Outgoing> outgoing;

  bool encrypted() const { return !options.public_key.empty(); }

  void Open() {
    if (encrypted()) {
      zap.bind(kZapEndpoint);
      pull.set(zmq::sockopt::curve_server, true);
      pull.set(zmq::sockopt::curve_secretkey, options.secret_key);
      pull.set(zmq::sockopt::zap_domain, "ridgehold");
    }
    pull.set(zmq::sockopt::linger, 0);
    pull.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    const std::string port = options.port == 0 ? "*" : std::to_string(options.port);
    pull.bind("tcp://" + options.address + ":" + port);
    address = pull.get(zmq::sockopt::last_endpoint).substr(std::string("tcp://").size());
    wake_in.bind(kWakeEndpoint);
    wake_out.connect(kWakeEndpoint);
  }

  void Run() {
    while (!stopping.load()) {
      std::vector<zmq::pollitem_t> items = {{pull.handle(), 0, ZMQ_POLLIN, 0},
                                            {wake_in.handle(), 0, ZMQ_POLLIN, 0},
                                            {zap.handle(), 0, ZMQ_POLLIN, 0}};
      zmq::poll(items.data(), encrypted() ? 3 : 2, kPollTime);
      if (encrypted()) Authenticate();
      Receive();
      SendQueued();
    }
  }

  void Receive() {
    zmq::message_t bytes;
    while (pull.recv(bytes, zmq::recv_flags::dontwait)) {
      received.Add();
      received_bytes.Add(bytes.size());
      wire::PeerMessage message;
      const bool readable = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
                            message.body_case() != wire::PeerMessage::BODY_NOT_SET;
      if (readable) {
        handler(message);
      } else {
        malformed.Add();
        Log(LogLevel::kWarn, "malformed peer message", {{"bytes", std::to_string(bytes.size())}});
      }
    }
  }

  void SendQueued() {
    zmq::message_t signal;
    while (wake_in.recv(signal, zmq::recv_flags::dontwait)) {
    }
    std::vector<Outgoing> batch;
    {
      const std::lock_guard lock(mutex);
      batch.swap(outgoing);
    }
    const TimePoint now = Clock::now();
    for (const Outgoing& message : batch) SendOne(message, now);
    std::erase_if(links,
                  [&](const auto& link) { return now - link.second.last_used > kIdleLinkLife; });
  }

  void SendOne(const Outgoing& message, TimePoint now) {
    auto found = links.find(message.address);
    try {
      if (found == links.end()) {
        found = links.emplace(message.address, Link{Connect(message.address), now}).first;
      }
      found->second.last_used = now;
      const bool taken =
          found->second.socket.send(zmq::buffer(message.bytes), zmq::send_flags::dontwait)
              .has_value();
      if (!taken) return dropped.Add();
      sent.Add();
      sent_bytes.Add(message.bytes.size());
    } catch (const zmq::error_t& error) {
      dropped.Add();
      Log(LogLevel::kWarn, "cannot send to peer",
          {{"address", message.address}, {"detail", error.what()}});
    }
  }

  zmq::socket_t Connect(const std::string& peer) {
    zmq::socket_t socket(context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kQueuedMessages);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kLongestReconnectMs);
    if (encrypted()) {
      socket.set(zmq::sockopt::curve_serverkey, options.public_key);
      socket.set(zmq::sockopt::curve_publickey, options.public_key);
      socket.set(zmq::sockopt::curve_secretkey, options.secret_key);
    }
    socket.connect("tcp://" + peer);
    return socket;
  }

  /// Answers libzmq's authentication requests (ZAP, RFC 27): only daemons that
  /// hold the deployment's key pair are let in.
  void Authenticate() {
    constexpr std::size_t kCredentialFrame = 6;
    while (true) {
      std::vector<std::string> frames;
      zmq::message_t frame;
      do {
        if (!zap.recv(frame, zmq::recv_flags::dontwait)) return;
        frames.push_back(frame.to_string());
      } while (frame.more());
      if (frames.size() < 2) continue;
      const bool let_in = frames.size() > kCredentialFrame && IsKnown(frames[kCredentialFrame]);
      Reply({"1.0", frames[1], let_in ? "200" : "400", let_in ? "OK" : "unknown key", "", ""});
    }
  }

  bool IsKnown(const std::string& binary_key) const {
    constexpr std::size_t kKeyBytes = 32;
    constexpr std::size_t kZ85Bytes = 41;
    if (binary_key.size() != kKeyBytes) return false;
    std::string text(kZ85Bytes, '\0');
    zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t*>(binary_key.data()),
                   kKeyBytes);
    text.pop_back();
    return text == options.public_key || text == options.previous_public_key;
  }

  void Reply(const std::vector<std::string>& frames) {
    for (std::size_t i = 0; i < frames.size(); ++i) {
      const auto flags = i + 1 < frames.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
      zap.send(zmq::buffer(frames[i]), flags);
    }
  }
};

PeerMesh::PeerMesh(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Result<std::unique_ptr<PeerMesh>> PeerMesh::Create(const PeerMeshOptions& options, Metrics& metrics,
                                                   PeerHandler handler) {
  auto impl = std::make_unique<Impl>(options, metrics, std::move(handler));
  try {
    impl->Open();
  } catch (const zmq::error_t& error) {
    return Fail(ResultCode::kInvalidSettings, "cannot listen for peers on " + options.address +
                                                  ":" + std::to_string(options.port) + ": " +
                                                  error.what());
  }
  impl->thread = std::thread([raw = impl.get()] { raw->Run(); });
  return std::unique_ptr<PeerMesh>(new PeerMesh(std::move(impl)));
}

PeerMesh::~PeerMesh() {
  impl_->stopping.store(true);
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->wake_out.send(zmq::str_buffer("w"), zmq::send_flags::dontwait);
  }
  impl_->thread.join();
}

const std::string& PeerMesh::address() const { return impl_->address; }

void PeerMesh::Send(const std::string& address, const wire::PeerMessage& message) {
  const std::lock_guard lock(impl_->mutex);
  impl_->outgoing.push_back({address, message.SerializeAsString()});
  impl_->wake_out.send(zmq::str_buffer("w"), zmq::send_flags::dontwait);
}

}  // namespace ridgehold
