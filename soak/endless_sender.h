// A client whose request has no end.

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "endless_part.h"
#include "sleep.h"

namespace ridgehold::soak {

/// Connects again and again, and sends the head of a request and a part of its framing until the
/// connection ends. Keeps itself alive while it runs.
class EndlessSender : public std::enable_shared_from_this<EndlessSender> {
 public:
  static std::shared_ptr<EndlessSender> Create(net::any_io_executor executor, std::string address,
                                               std::uint16_t port, EndlessPart part);

  net::awaitable<void> Run(TimePoint end);

 private:
  EndlessSender(net::any_io_executor executor, std::string address, std::uint16_t port,
                EndlessPart part)
      : executor_(std::move(executor)),
        address_(std::move(address)),
        port_(port),
        part_(std::move(part)) {}

  net::awaitable<void> UseConnection(TimePoint end);

  net::any_io_executor executor_;
  std::string address_;
  std::uint16_t port_;
  EndlessPart part_;
};

}  // namespace ridgehold::soak
