// What this instance knows of the releases that began streams, and shares with others.

#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random_id.h"
#include "control/instance_records.h"
#include "entry/entry_settings.h"
#include "entry/origin_writer.h"
#include "entry/release_recorder.h"
#include "gateway/gateway_state.h"
#include "log/log.h"
#include "net/wait.h"
#include "peers/origin_link.h"
#include "peers/origin_record_codec.h"
#include "task/spawn.h"

namespace ridgehold {

/// Joins the link to the other gateways with what the store keeps for the time after an end of all
/// processes. Runs on one executor.
template <StateStore Store>
class ResumptionCoordinator {
 public:
  struct Callbacks {
    std::function<void(const std::string& address, const OriginMessage& message)> send;
    /// Returns the addresses of all other live gateways.
    std::function<std::vector<std::string>()> peers;
    /// Returns whether the local copy of the store is kept up to date.
    std::function<bool()> connected;
  };

  ResumptionCoordinator(Store& store, GatewayState& state, InstanceRecords& records,
                        const EntrySettings& settings, Callbacks callbacks)
      : store_(store),
        state_(state),
        records_(records),
        settings_(settings),
        callbacks_(std::move(callbacks)),
        link_(state.executor(), state.metrics(), OriginLink::Options(), LinkCallbacks()),
        recorder_(store, state.executor(), records, RecorderOptions()),
        writer_(store, state.executor(), state.metrics(), WriterOptions()) {
    records_.SetListener(
        [this](const std::string& key, const StoreItem* item) { OnRecord(key, item); });
    state_.SetOriginHandlers({[this](RequestId attempt, WorkspaceId workspace, ServiceId service) {
                                return link_.Find(std::move(attempt), std::move(workspace),
                                                  std::move(service));
                              },
                              [this](const RequestId& attempt, const WorkspaceId& workspace,
                                     const ServiceId& service, const ReleaseId& release) {
                                link_.RecordStart(attempt, workspace, service, release);
                              }});
    state_.directory().SetRegistrationListener([this](const BackendEntry& entry) {
      const TimePoint now = Clock::now();
      link_.Observe(entry.service, {entry.release}, now);
      UpdateUnrecorded(entry.service, now);
    });
  }

  void Start() {
    SpawnDuty(state_.executor(), "release recorder", [this] { return recorder_.Run(); });
    SpawnDuty(state_.executor(), "origin writer", [this] { return writer_.Run(); });
  }

  void Stop() {
    recorder_.Stop();
    writer_.Stop();
  }

  void Handle(const OriginMessage& message, const std::string& from) {
    link_.Handle(message, from);
  }

  /// Observes the registered releases and forgets what is no longer needed. Call several times per
  /// second.
  void Update(TimePoint now) {
    link_.Expire(now);
    if (!state_.snapshot()) return;
    for (const ServiceRule& service : state_.snapshot()->services()) {
      link_.Observe(service.id, state_.directory().ReleasesOf(service.id), now);
      UpdateUnrecorded(service.id, now);
    }
  }

  /// Number of streams whose origin the store names.
  std::size_t stored_streams() const { return stored_.size(); }

 private:
  /// What reads of a service's record have shown.
  struct RecordRead {
    bool wanted = false;
    bool running = false;
    TimePoint known_at{};  ///< when the last one that succeeded was sent
  };

  /// A watch confirms the copy of the store about once per second.
  static constexpr std::chrono::milliseconds kMaxCopyAge{2'000};
  /// Fractions of the calls per second that the store takes which all gateways may use together.
  static constexpr double kWriteShare = 0.1;
  static constexpr double kReadShare = 0.2;
  static constexpr std::chrono::milliseconds kMinReadInterval{50};
  static constexpr std::chrono::milliseconds kMinWriteInterval{250};

  OriginLink::Callbacks LinkCallbacks() {
    OriginLink::Callbacks callbacks;
    callbacks.send = callbacks_.send;
    callbacks.peers = callbacks_.peers;
    callbacks.stored = [this](StreamHash stream) { return stored_.Find(stream); };
    callbacks.confirmed_at = [this](const ServiceId& service) {
      const auto read = reads_.find(service);
      const TimePoint read_at = read == reads_.end() ? TimePoint() : read->second.known_at;
      return std::max(state_.confirmed_at(), read_at);
    };
    callbacks.read_record = [this](const ServiceId& service) {
      RecordRead& read = reads_[service];
      read.wanted = true;
      if (std::exchange(read.running, true)) return;
      Spawn(state_.executor(), "release record read", ReadRecord(service),
            [this, service] { reads_[service].running = false; });
    };
    return callbacks;
  }

  typename ReleaseRecorder<Store>::Options RecorderOptions() {
    typename ReleaseRecorder<Store>::Options options;
    options.services = [this] { return ResumableServices(); };
    options.record_of = [this](const ServiceId& service) {
      const TimePoint now = Clock::now();
      ReleaseRecord record = link_.RecordOf(service, now);
      // A release that has returned since the copy was confirmed must not be removed.
      if (now - state_.confirmed_at() >= kMaxCopyAge) record.releases.merge(RecordedOf(service));
      return record;
    };
    options.on_missing = [this](const ServiceId& service) {
      if (settings_.first_start) link_.MarkComplete(service);
    };
    options.connected = callbacks_.connected;
    options.rank = [this] {
      return records_.MemberRank(MemberKeyOf(settings_.zone, settings_.daemon));
    };
    return options;
  }

  typename OriginWriter<Store>::Options WriterOptions() {
    typename OriginWriter<Store>::Options options;
    options.process = RandomId();
    options.stream_lifetime = OriginLink::Options().stream_lifetime;
    options.take = [this] { return link_.TakeUnstored(); };
    options.interval = [this] {
      const double seconds = static_cast<double>(state_.gateways()) /
                             (kWriteShare * settings_.store_writes_per_second);
      return std::max(kMinWriteInterval, std::chrono::milliseconds(
                                             static_cast<std::int64_t>(seconds * std::milli::den)));
    };
    return options;
  }

  std::vector<ServiceId> ResumableServices() const {
    std::set<ServiceId> services;
    if (!state_.snapshot()) return {};
    for (const RouteRule& route : state_.snapshot()->routes()) {
      if (!route.IsResumable()) continue;
      for (const WeightedTarget& target : route.targets) services.insert(target.service);
    }
    return {services.begin(), services.end()};
  }

  void OnRecord(const std::string& key, const StoreItem* item) {
    if (key.starts_with(kOriginPrefix)) return OnOrigins(key, item);
    if (key.starts_with(kReleaseRecordPrefix) && item != nullptr) OnReleases(*item);
  }

  void OnOrigins(const std::string& key, const StoreItem* item) {
    std::optional<OriginBatch> batch;
    if (item != nullptr) batch = DecodeOriginBatch(item->value);
    if (!batch) return stored_.Remove(key);
    stored_.Put(key, std::move(*batch));
  }

  /// Reads the record for all searches that begin before each call. Calls are limited, and whoever
  /// asks after a call waits for the next one.
  net::awaitable<void> ReadRecord(ServiceId service) {
    const std::string key = kReleaseRecordPrefix + service.value();
    Timer timer(state_.executor());
    while (std::exchange(reads_[service].wanted, false)) {
      const TimePoint sent = Clock::now();
      const StoreResult<StorePage> page = co_await store_.List(key, "", ListOptions());
      if (page.has_value()) {
        for (const StoreItem& item : page->items) {
          if (item.key == key) OnReleases(item);
        }
        reads_[service].known_at = sent;
        link_.OnRecordRead();
      }
      co_await WaitFor(timer, ReadInterval());
    }
    reads_[service].running = false;
  }

  std::chrono::milliseconds ReadInterval() const {
    const double seconds =
        static_cast<double>(state_.gateways()) / (kReadShare * settings_.store_reads_per_second);
    return std::max(kMinReadInterval, std::chrono::milliseconds(
                                          static_cast<std::int64_t>(seconds * std::milli::den)));
  }

  std::set<ReleaseId> RecordedOf(const ServiceId& service) const {
    const StoreItem* stored = records_.Find(kReleaseRecordPrefix + service.value());
    const auto record = stored == nullptr ? std::nullopt : DecodeReleaseRecord(stored->value);
    return record ? record->releases : std::set<ReleaseId>();
  }

  /// A listing also delivers records that have not changed. What they list may have been registered
  /// while the changes were not followed.
  void OnReleases(const StoreItem& item) {
    StoreRevision& known = record_revisions_[item.key];
    const bool was_current = Clock::now() - state_.confirmed_at() < kMaxCopyAge;
    if (item.revision < known || (item.revision == known && was_current)) return;
    known = item.revision;
    const std::optional<ReleaseRecord> record = DecodeReleaseRecord(item.value);
    if (!record) {
      Log(LogLevel::kWarn, "malformed record of releases", {{"key", item.key}});
      return;
    }
    const ServiceId service(item.key.substr(std::string_view(kReleaseRecordPrefix).size()));
    const TimePoint now = Clock::now();
    link_.Restore(service, *record, now);
    UpdateUnrecorded(service, now);
  }

  void UpdateUnrecorded(const ServiceId& service, TimePoint now) {
    state_.directory().SetUnrecorded(service, link_.UnrecordedOf(service, now));
  }

  Store& store_;
  GatewayState& state_;
  InstanceRecords& records_;
  const EntrySettings& settings_;
  Callbacks callbacks_;
  StoredOrigins stored_;
  OriginLink link_;
  ReleaseRecorder<Store> recorder_;
  OriginWriter<Store> writer_;
  std::map<std::string, StoreRevision> record_revisions_;
  std::map<ServiceId, RecordRead> reads_;
};

}  // namespace ridgehold
