// The operators' side over HTTP: statements, dump, metrics.

#pragma once

#include <functional>
#include <string>

#include "http/request.h"
#include "http/responder.h"

namespace ridgehold {

class Metrics;
class OperatorService;

/// Thread-safe. `POST /v1/command` takes a script as its body; `?dry_run=1`
/// only checks it. `GET /v1/revision` (a bare number), `GET /v1/dump` and
/// `GET /metrics` are there too.
class OperatorListener {
 public:
  /// With `key_sha256` empty, no key is asked for. Everything referred to
  /// outlives the listener.
  OperatorListener(const OperatorService& service, const Metrics& metrics, std::string key_sha256,
                   std::function<std::string()> dump)
      : service_(service),
        metrics_(metrics),
        key_sha256_(std::move(key_sha256)),
        dump_(std::move(dump)) {}

  void Handle(const HttpRequest& request, const Responder& responder) const;

 private:
  bool MayEnter(const HttpRequest& request) const;
  void RunCommand(const HttpRequest& request, const Responder& responder) const;

  const OperatorService& service_;
  const Metrics& metrics_;
  std::string key_sha256_;
  std::function<std::string()> dump_;
};

}  // namespace ridgehold
