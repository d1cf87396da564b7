// Stand-in of the platform: etcd's JSON gateway over a KvTable, and the instance list.

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"

namespace ridgehold::standin {

/// Faults that tests switch on while it runs (`POST /standin/faults`).
struct PlatformFaults {
  bool down = false;          ///< every call is answered 503 and not carried out
  bool lose_answers = false;  ///< writes are carried out, then answered 503
  int delay_ms = 0;           ///< each call is answered this much later
};

class Platform {
 public:
  static Result<std::unique_ptr<Platform>> Create(const std::string& address, std::uint16_t port);
  ~Platform();

  std::uint16_t port() const;
  std::string url() const;
  void SetFaults(const PlatformFaults& faults);

  /// Forgets everything, or goes back to what SaveCopy saved.
  void SaveCopy();
  void RestoreCopy();

  /// Calls served so far, watches included.
  std::uint64_t calls() const;

 private:
  struct Impl;
  explicit Platform(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ridgehold::standin
