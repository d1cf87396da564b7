#include "control/store_item_applier.h"

#include <chrono>
#include <set>

#include "control/quarantine_writer.h"
#include "log/duration_text.h"
#include "log/log.h"

namespace ridgehold {
namespace {

std::string RevisionText(const StoreItem& item) { return std::to_string(item.revision.value()); }

}  // namespace

void StoreItemApplier::Take(const StoreItem& item, DecodedItem fact, const Writing& writing) {
  if (auto* parts = std::get_if<RoutingParts>(&fact)) return TakeConfig(item, std::move(*parts));
  if (const auto* order = std::get_if<DesiredWeights>(&fact)) return TakeWeights(*order, writing);
  if (const auto* entry = std::get_if<BackendEntry>(&fact)) TakeBackend(item, *entry);
}

void StoreItemApplier::TakeConfig(const StoreItem& item, RoutingParts parts) {
  const std::string version = std::to_string(parts.version.value());
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(snapshot, RoutingSnapshot::Create(std::move(parts)));
        const std::size_t routes = snapshot->routes().size();
        std::set<ServiceId> services;
        for (const ServiceRule& service : snapshot->services()) services.insert(service.id);
        const bool taken = state_.TakeSnapshot(std::move(snapshot));
        if (taken) state_.directory().SetServices(std::move(services));
        Log(LogLevel::kInfo, taken ? "configuration taken" : "configuration not newer",
            {{"config", version},
             {"routes", std::to_string(routes)},
             {"store_revision", RevisionText(item)}});
        return {};
      },
      [&](const Failure& failure) { Reject(item, failure); });
}

void StoreItemApplier::TakeWeights(const DesiredWeights& order, const Writing& writing) {
  NamedWeights& named = state_.named_weights();
  if (!named.Take(order.model, order.number, writing.at, writing.assumed)) return;
  const auto age = std::chrono::duration_cast<Duration>(Clock::now() - writing.at);
  Log(LogLevel::kInfo, "weights named",
      {{"model", order.model.value()},
       {"weights", std::to_string(order.number.value())},
       {"age_ms", MillisecondsText(age)},
       {"age_is", writing.assumed ? "assumed" : "known"}});
}

void StoreItemApplier::TakeBackend(const StoreItem& item, const BackendEntry& entry) {
  const BackendPtr known = state_.directory().Find(entry.id);
  const bool is_new = known == nullptr;
  const bool drains = entry.draining && (is_new || !known->entry.draining);
  const bool returned = !is_new && known->missing_until.has_value();
  const Registration registration = state_.directory().Put(entry);
  // Its kept connections are the former process's.
  if (registration == Registration::kRestarted) state_.pool().Forget(entry.address);
  if (registration == Registration::kChanged && !drains && !returned) return;
  const char* event = drains ? "backend drains" : (is_new ? "backend added" : "backend returned");
  if (registration == Registration::kRestarted) event = "backend restarted";
  if (registration == Registration::kOutdated) event = "outdated registration ignored";
  Log(LogLevel::kInfo, event,
      {{"backend", entry.id.value()},
       {"started", std::to_string(entry.started.value())},
       {"service", entry.service.value()},
       {"address", entry.address},
       {"zone", entry.zone.value()},
       {"store_revision", RevisionText(item)}});
}

void StoreItemApplier::TakeOwn(const StoreItem& item) {
  records_.Put(item);
  CountMembers();
  TakeQuarantine(item);
}

void StoreItemApplier::TakeQuarantine(const StoreItem& item) {
  const auto request = ParseQuarantineKey(item.key);
  const auto until = DecodeQuarantine(item.value);
  if (!request || !until) return;
  const auto left = std::chrono::duration_cast<Duration>(*until - std::chrono::system_clock::now());
  state_.poison().TakeStored(*request, left, Clock::now());
}

void StoreItemApplier::RemoveOwn(const std::string& key) {
  records_.Remove(key);
  CountMembers();
}

void StoreItemApplier::CountMembers() {
  const auto members = std::max(static_cast<std::uint32_t>(records_.Members().size()), 1U);
  if (members == state_.gateways()) return;
  state_.SetGateways(members, Clock::now());
  Log(LogLevel::kInfo, "gateways alive", {{"count", std::to_string(members)}});
}

void StoreItemApplier::RejectBackend(const BackendId& id, TimePoint now) {
  RemoveBackend(id, Duration::zero(), now);
}

void StoreItemApplier::RemoveBackend(const BackendId& id, Duration grace, TimePoint now) {
  const BackendPtr known = state_.directory().Find(id);
  if (!known) return;
  state_.directory().Remove(id, grace, now);
  state_.pool().Forget(known->entry.address);
  Log(LogLevel::kInfo, "backend missing",
      {{"backend", id.value()},
       {"address", known->entry.address},
       {"used_on_for_ms", MillisecondsText(grace)}});
}

void StoreItemApplier::ReplaceBackends(const std::vector<BackendEntry>& entries, Duration grace,
                                       TimePoint now) {
  state_.directory().Replace(entries, grace, now);
  Log(LogLevel::kInfo, "backends listed",
      {{"count", std::to_string(entries.size())},
       {"missing_used_on_for_ms", MillisecondsText(grace)}});
}

bool StoreItemApplier::MayLogRejection(TimePoint now) {
  if (now - rejections_since_ >= kRejectionWindow) {
    rejections_since_ = now;
    rejection_lines_ = 0;
  }
  return rejection_lines_++ < kMostRejectionLines;
}

void StoreItemApplier::Reject(const StoreItem& item, const Failure& failure) {
  state_.metrics().GetCounter("ridgehold_malformed_facts").Add();
  if (!MayLogRejection(Clock::now())) return;
  Log(LogLevel::kWarn, "malformed value in the store",
      {{"key", item.key}, {"store_revision", RevisionText(item)}, {"detail", failure.detail}});
}

}  // namespace ridgehold
