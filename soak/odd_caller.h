// A caller whose requests cannot be delimited, or are larger than what buffers hold.

#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>

#include "instance_process.h"
#include "ledger.h"
#include "operator_log.h"
#include "random.h"

namespace ridgehold::soak {

/// What an OddCaller sends.
struct OddRequests {
  bool unframed = false;  ///< with a request in each body that cannot be delimited
  bool large = false;     ///< uploads of megabytes
};

/// Uses connections of one instance until told to stop. Requests that must not run are unknown to
/// the ledger, which fails if an engine gets one.
class OddCaller : public std::enable_shared_from_this<OddCaller> {
 public:
  OddCaller(std::string name, const InstanceProcess& instance, OddRequests requests, Ledger& ledger,
            const OperatorLog& operator_log, Verdict& verdict, Random random)
      : name_(std::move(name)),
        instance_(instance),
        requests_(requests),
        ledger_(ledger),
        operator_(operator_log),
        verdict_(verdict),
        random_(random) {}

  net::awaitable<void> Run();
  /// Takes effect after the request that runs.
  void Stop() { stopping_ = true; }
  /// Requests that were refused because they cannot be delimited.
  int refused() const { return refused_; }

 private:
  net::awaitable<void> UseConnection();
  net::awaitable<void> SendUnframed(boost::beast::tcp_stream& stream);
  net::awaitable<void> Upload(boost::beast::tcp_stream& stream);

  std::string name_;
  const InstanceProcess& instance_;
  OddRequests requests_;
  Ledger& ledger_;
  const OperatorLog& operator_;
  Verdict& verdict_;
  Random random_;
  int sent_ = 0;
  int refused_ = 0;
  bool stopping_ = false;
};

}  // namespace ridgehold::soak
