// One-way messages between daemons: ZeroMQ push and pull sockets, CURVE where keys are set.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "ridgehold.pb.h"

namespace ridgehold {

class Metrics;

/// Where a mesh listens and who may speak to it.
struct PeerMeshOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: any free port
  std::string public_key;  ///< Z85, one pair for all daemons; empty: no encryption
  std::string secret_key;
  std::string previous_public_key;  ///< also let in, while keys are being changed
};

/// Called on the mesh's own thread; must not block.
using PeerHandler = std::function<void(const wire::PeerMessage&)>;

/// Sends are best effort: a message to a peer that is away is dropped once a
/// small queue is full. Nothing that must arrive depends on one message.
class PeerMesh {
 public:
  /// `metrics` outlives the mesh.
  static Result<std::unique_ptr<PeerMesh>> Create(const PeerMeshOptions& options, Metrics& metrics,
                                                  PeerHandler handler);
  ~PeerMesh();

  /// The `address:port` that peers send to.
  const std::string& address() const;

  /// Queues a message. From any thread.
  void Send(const std::string& address, const wire::PeerMessage& message);

 private:
  struct Impl;
  explicit PeerMesh(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ridgehold
