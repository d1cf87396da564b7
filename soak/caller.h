// A caller that sends requests over connections it keeps.

#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>

#include "instance_process.h"
#include "ledger.h"
#include "operator_log.h"
#include "poison.h"
#include "random.h"
#include "resumptions.h"

namespace ridgehold::soak {

/// Sends one request after the other to one instance until told to stop.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(std::string name, const InstanceProcess& instance, Ledger& ledger,
         const OperatorLog& operator_log, Poison& poison, Resumptions& resumptions, Random random)
      : name_(std::move(name)),
        instance_(instance),
        ledger_(ledger),
        operator_(operator_log),
        poison_(poison),
        resumptions_(resumptions),
        random_(random) {}

  net::awaitable<void> Run();
  /// Takes effect after the request that runs.
  void Stop() { stopping_ = true; }

 private:
  net::awaitable<void> UseConnection();
  /// Returns whether the connection may be used again.
  net::awaitable<bool> Ask(boost::beast::tcp_stream& stream);
  RequestRecord Draw();
  /// A request that takes a broken stream up.
  RequestRecord Resume(BrokenStream stream);
  /// Offers a stream that broke off to all callers.
  void OfferResumption(const std::string& id, const CallerView& view);

  std::string name_;
  const InstanceProcess& instance_;
  Ledger& ledger_;
  const OperatorLog& operator_;
  Poison& poison_;
  Resumptions& resumptions_;
  Random random_;
  int sent_ = 0;
  bool stopping_ = false;
};

}  // namespace ridgehold::soak
