// Stand-in of a plain service: counts what it executes, by call body.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"

namespace ridgehold::standin {

class PlainService {
 public:
  static Result<std::unique_ptr<PlainService>> Create(const std::string& address,
                                                      std::uint16_t port,
                                                      std::chrono::milliseconds delay);
  ~PlainService();

  std::uint16_t port() const;
  std::string url() const;

  /// How often a call with this body was executed.
  std::uint64_t executions(const std::string& body) const;

 private:
  struct Impl;
  explicit PlainService(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ridgehold::standin
