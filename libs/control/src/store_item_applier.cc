#include "control/store_item_applier.h"

#include <chrono>
#include <set>

#include "control/quarantine_writer.h"
#include "log/duration_text.h"
#include "log/log.h"

namespace ridgehold {
namespace {

std::string RevisionText(StoreRevision revision) { return std::to_string(revision.value()); }

}  // namespace

void StoreItemApplier::Apply(const StoreItem& item, DecodedItem value, const WriteTime& written) {
  if (auto* parts = std::get_if<RoutingConfig>(&value)) return ApplyConfig(item, std::move(*parts));
  if (const auto* order = std::get_if<DesiredWeights>(&value)) return ApplyWeights(*order, written);
  if (const auto* order = std::get_if<ReleaseOrder>(&value)) return ApplyRelease(item, *order);
  if (const auto* entry = std::get_if<BackendEntry>(&value)) ApplyBackend(item, *entry);
}

void StoreItemApplier::ApplyConfig(const StoreItem& item, RoutingConfig parts) {
  const std::string version = std::to_string(parts.version.value());
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(snapshot, RoutingSnapshot::Create(std::move(parts)));
        const std::size_t routes = snapshot->routes().size();
        const std::size_t workspaces = snapshot->workspaces().size();
        const bool requires_keys = snapshot->requires_keys();
        std::set<ServiceId> services;
        for (const ServiceRule& service : snapshot->services()) services.insert(service.id);
        const bool applied = state_.TakeSnapshot(std::move(snapshot));
        if (applied) state_.directory().SetServices(std::move(services));
        Log(LogLevel::kInfo, applied ? "configuration applied" : "configuration ignored: not newer",
            {{"config", version},
             {"routes", std::to_string(routes)},
             {"workspaces", std::to_string(workspaces)},
             {"requires_keys", requires_keys ? "yes" : "no"},
             {"store_revision", RevisionText(item.revision)}});
        return {};
      },
      [&](const Failure& failure) { Reject(item, failure); });
}

void StoreItemApplier::ApplyWeights(const DesiredWeights& order, const WriteTime& written) {
  WeightsHistory& named = state_.named_weights();
  if (!named.Record(order.model, order.number, written.at, written.assumed)) return;
  const auto age = std::chrono::duration_cast<Duration>(Clock::now() - written.at);
  Log(LogLevel::kInfo, "weights named",
      {{"model", order.model.value()},
       {"weights", std::to_string(order.number.value())},
       {"age_ms", MillisecondsText(age)},
       {"age_is", written.assumed ? "assumed" : "known"},
       {"source", "store"}});
}

void StoreItemApplier::ApplyRelease(const StoreItem& item, const ReleaseOrder& order) {
  release_orders_[item.key] = order.service;
  state_.directory().Withhold(order.service, order.target);
  Log(LogLevel::kWarn, "release ordered; requests are withheld from its servers",
      {{"service", order.service.value()},
       {"release", order.target.value()},
       {"store_revision", RevisionText(item.revision)}});
}

void StoreItemApplier::RemoveOrder(const std::string& key) {
  const auto order = release_orders_.find(key);
  if (order == release_orders_.end()) return;
  state_.directory().Withhold(order->second, std::nullopt);
  release_orders_.erase(order);
}

void StoreItemApplier::ClearReleaseOrders() {
  for (const auto& [key, service] : release_orders_) {
    state_.directory().Withhold(service, std::nullopt);
  }
  release_orders_.clear();
}

void StoreItemApplier::ApplyBackend(const StoreItem& item, const BackendEntry& entry) {
  const KnownBackend known = FindKnown(entry.id);
  const Registration registration = state_.directory().Put(entry);
  OnRegistration({entry, item.revision}, known, registration);
}

StoreItemApplier::KnownBackend StoreItemApplier::FindKnown(const BackendId& id) const {
  const BackendPtr known = state_.directory().Find(id);
  if (!known) return {};
  return {false, known->entry.draining, known->grace_until.has_value()};
}

void StoreItemApplier::OnRegistration(const ListedBackend& backend, const KnownBackend& known,
                                      Registration registration) {
  const BackendEntry& entry = backend.entry;
  const bool starts_draining = entry.draining && !known.draining;
  // The pooled connections belong to the previous process.
  if (registration == Registration::kRestarted) state_.pool().CloseIdle(entry.address);
  if (registration == Registration::kChanged && !starts_draining && !known.lapsed) return;
  const char* event =
      starts_draining ? "backend draining" : (known.is_new ? "backend added" : "backend returned");
  if (registration == Registration::kRestarted) event = "backend restarted";
  if (registration == Registration::kStale) event = "outdated registration ignored";
  const BackendPtr applied = state_.directory().Find(entry.id);
  const bool shares_address = applied && applied->shares_address;
  Log(LogLevel::kInfo, event,
      {{"backend", entry.id.value()},
       {"started", std::to_string(entry.started.value())},
       {"service", entry.service.value()},
       {"address", entry.address},
       {"shares_address", shares_address ? "yes" : "no"},
       {"superseded", applied && applied->superseded ? "yes" : "no"},
       {"zone", entry.zone.value()},
       {"store_revision", RevisionText(backend.revision)}});
}

void StoreItemApplier::ApplyInstanceKey(const StoreItem& item) {
  records_.Put(item);
  ApplyQuarantine(item);
}

void StoreItemApplier::ApplyQuarantine(const StoreItem& item) {
  const auto request = ParseQuarantineKey(item.key);
  const auto until = DecodeQuarantine(item.value);
  if (!request || !until) return;
  const auto remaining =
      std::chrono::duration_cast<Duration>(*until - std::chrono::system_clock::now());
  state_.poison().ApplyStored(*request, remaining, Clock::now());
}

void StoreItemApplier::RemoveInstanceKey(const std::string& key) { records_.Remove(key); }

void StoreItemApplier::UpdateMemberCount() {
  const auto members = std::max(static_cast<std::uint32_t>(records_.Members().size()), 1U);
  if (members == state_.gateways()) return;
  state_.SetGateways(members, Clock::now());
  Log(LogLevel::kInfo, "live instance count changed", {{"count", std::to_string(members)}});
}

void StoreItemApplier::RejectBackend(const BackendId& id, TimePoint now) {
  RemoveBackend(id, Duration::zero(), now);
}

void StoreItemApplier::RemoveBackend(const BackendId& id, Duration grace, TimePoint now) {
  const BackendPtr known = state_.directory().Find(id);
  if (!known) return;
  state_.directory().Remove(id, grace, now);
  state_.pool().CloseIdle(known->entry.address);
  Log(LogLevel::kInfo, "backend missing",
      {{"backend", id.value()},
       {"address", known->entry.address},
       {"used_on_for_ms", MillisecondsText(grace)}});
}

void StoreItemApplier::ReplaceBackends(const std::vector<ListedBackend>& listed, Duration grace,
                                       TimePoint now) {
  std::vector<BackendEntry> entries;
  std::vector<KnownBackend> known;
  for (const ListedBackend& backend : listed) {
    entries.push_back(backend.entry);
    known.push_back(FindKnown(backend.entry.id));
  }
  const std::vector<Registration> registrations = state_.directory().Replace(entries, grace, now);
  for (std::size_t i = 0; i < listed.size(); ++i) {
    OnRegistration(listed[i], known[i], registrations[i]);
  }
  Log(LogLevel::kInfo, "backends listed",
      {{"count", std::to_string(entries.size())},
       {"missing_used_on_for_ms", MillisecondsText(grace)}});
}

bool StoreItemApplier::MayLogRejection(TimePoint now) {
  if (now - rejection_window_start_ >= kRejectionWindow) {
    rejection_window_start_ = now;
    logged_rejections_ = 0;
  }
  return logged_rejections_++ < kMaxLoggedRejections;
}

void StoreItemApplier::Reject(const StoreItem& item, const Failure& failure) {
  state_.metrics().GetCounter("ridgehold_malformed_facts").Add();
  if (!MayLogRejection(Clock::now())) return;
  Log(LogLevel::kWarn, "malformed value in the store",
      {{"key", item.key},
       {"store_revision", RevisionText(item.revision)},
       {"detail", failure.detail}});
}

}  // namespace ridgehold
