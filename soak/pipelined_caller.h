// A caller that sends requests without waiting for the answers of those before.

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>
#include <vector>

#include "instance_process.h"
#include "ledger.h"
#include "operator_log.h"
#include "random.h"

namespace ridgehold::soak {

/// Pipelines series of requests to one instance until told to stop; ends its sending side after
/// some of them and still reads.
class PipelinedCaller : public std::enable_shared_from_this<PipelinedCaller> {
 public:
  PipelinedCaller(std::string name, const InstanceProcess& instance, Ledger& ledger,
                  const OperatorLog& operator_log, Random random)
      : name_(std::move(name)),
        instance_(instance),
        ledger_(ledger),
        operator_(operator_log),
        random_(random) {}

  net::awaitable<void> Run();
  /// Takes effect after the series that runs.
  void Stop() { stopping_ = true; }

 private:
  net::awaitable<void> UseConnection();
  /// Returns whether the connection may be used again.
  net::awaitable<bool> AskSeries(boost::beast::tcp_stream& stream);
  /// Returns the ids, in order.
  std::vector<std::string> Draw(std::string& bytes);
  /// Reads the answer to `id`; returns whether another may follow.
  net::awaitable<bool> ReadAnswer(boost::beast::tcp_stream& stream,
                                  boost::beast::flat_buffer& buffer, std::string id, bool is_last);

  std::string name_;
  const InstanceProcess& instance_;
  Ledger& ledger_;
  const OperatorLog& operator_;
  Random random_;
  int sent_ = 0;
  bool gave_up_ = false;  ///< the last answer took too long; the connection is left
  bool stopping_ = false;
};

}  // namespace ridgehold::soak
