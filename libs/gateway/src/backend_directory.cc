#include "gateway/backend_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ridgehold {
namespace {

// An observed wait older than this says nothing about an engine's current queue.
constexpr std::chrono::milliseconds kWaitSampleTtl{3'000};

const BackendId& IdOf(const BackendPtr& backend) { return backend->entry.id; }

bool IsIdle(const BackendPtr& backend) {
  return backend->in_flight == 0 && backend->waiting_since.empty() && !backend->needs_probe &&
         !backend->probing;
}

/// Weights only advance; a lower number is an outdated report.
void AdvanceWeights(Backend& backend, const ModelId& model, WeightsNumber weights) {
  WeightsNumber& known = backend.weights[model];
  if (weights <= known) return;
  known = weights;
  backend.cache.Clear();
}

}  // namespace

BackendHash HashOf(const Backend& backend) {
  return HashOf(backend.entry.id, backend.entry.started);
}

bool IsUsable(const Backend& backend, TimePoint now) {
  const bool leaving = backend.entry.draining || backend.notice_state.leaving();
  const bool lapsed = backend.grace_until && now >= *backend.grace_until;
  return !leaving && !lapsed && !backend.superseded;
}

Registration BackendDirectory::Put(const BackendEntry& entry) {
  last_update_ = RegistrationNumber(last_update_.value() + 1);
  return Apply(entry);
}

Registration BackendDirectory::Apply(const BackendEntry& entry) {
  const Registration registration = Classify(entry);
  if (registration == Registration::kStale) return registration;
  if (on_registration_) on_registration_(entry);
  Store(entry, registration);
  return registration;
}

Registration BackendDirectory::Classify(const BackendEntry& entry) const {
  const auto remembered = known_ids_.find(entry.id);
  const bool compared = remembered != known_ids_.end() &&
                        remembered->second.started != StartStamp() && entry.started != StartStamp();
  if (compared && entry.started < remembered->second.started) return Registration::kStale;
  const auto known = backends_.find(entry.id);
  if (known == backends_.end()) return Registration::kAdded;
  const bool later = compared && entry.started > known->second->entry.started;
  return later ? Registration::kRestarted : Registration::kChanged;
}

void BackendDirectory::Store(const BackendEntry& entry, Registration registration) {
  TimePoint backoff_until{};
  if (registration == Registration::kRestarted) {
    backoff_until = Find(entry.id)->notice_state.backoff_until();
    Drop(entry.id);
  }
  const RegistrationNumber registered = Remember(entry, registration);
  BackendPtr& backend = backends_[entry.id];
  const bool is_new = !backend;
  if (is_new) backend = std::make_shared<Backend>();
  RemoveFromIndexes(backend);
  const std::string former_address = backend->entry.address;
  backend->grace_until.reset();
  backend->removed = false;
  for (const auto& [model, weights] : entry.weights) AdvanceWeights(*backend, model, weights);
  const bool next_release = !is_new && backend->entry.release != entry.release;
  if (next_release) backend->continuity.RecordNextRegistration();
  // A registration without a start stamp belongs to the known process.
  const StartStamp started = std::max(entry.started, backend->entry.started);
  backend->entry = entry;
  backend->entry.started = started;
  backend->process.started = started;
  backend->process.registered = registered;
  AddToIndexes(backend);
  if (is_new) RestoreNotice(*backend);
  backend->notice_state.KeepBackoff(backoff_until);
  if (former_address != entry.address) UpdateAddress(former_address);
  UpdateAddress(entry.address);
}

void BackendDirectory::AddToIndexes(const BackendPtr& backend) {
  ++version_;
  by_hash_[HashOf(*backend)] = backend;
  by_address_.emplace(backend->entry.address, backend);
  std::vector<BackendPtr>& service = by_service_[backend->entry.service];
  service.insert(std::ranges::lower_bound(service, backend->entry.id, {}, IdOf), backend);
}

void BackendDirectory::RemoveFromIndexes(const BackendPtr& backend) {
  ++version_;
  by_hash_.erase(HashOf(*backend));
  const auto [first, last] = by_address_.equal_range(backend->entry.address);
  const auto entry =
      std::find_if(first, last, [&](const auto& item) { return item.second == backend; });
  if (entry != last) by_address_.erase(entry);
  std::vector<BackendPtr>& service = by_service_[backend->entry.service];
  const auto at = std::ranges::lower_bound(service, backend->entry.id, {}, IdOf);
  if (at != service.end() && *at == backend) service.erase(at);
}

void BackendDirectory::SaveNotice(const Backend& backend) {
  const PushbackState& notice = backend.notice_state;
  const bool has_content =
      notice.limit() || notice.leaving() || notice.backoff_until() != TimePoint();
  if (!has_content) return;
  if (saved_notices_.size() >= kMaxRememberedIds) saved_notices_.clear();
  saved_notices_[HashOf(backend)] = notice;
}

void BackendDirectory::RestoreNotice(Backend& backend) {
  const auto saved = saved_notices_.extract(HashOf(backend));
  if (!saved.empty()) backend.notice_state = saved.mapped();
}

RegistrationNumber BackendDirectory::Remember(const BackendEntry& entry,
                                              Registration registration) {
  if (known_ids_.size() >= kMaxRememberedIds) {
    std::erase_if(known_ids_,
                  [this](const auto& known) { return !backends_.contains(known.first); });
  }
  const auto [known, is_new] = known_ids_.try_emplace(entry.id);
  if (is_new || registration == Registration::kRestarted) known->second.registered = last_update_;
  if (entry.started != StartStamp()) known->second.started = entry.started;
  return known->second.registered;
}

void BackendDirectory::UpdateAddress(const std::string& address) {
  if (address.empty()) return;
  const auto range = by_address_.equal_range(address);
  const bool shared = std::distance(range.first, range.second) > 1;
  std::for_each(range.first, range.second, [&](const auto& entry) {
    Backend& backend = *entry.second;
    backend.shares_address = shared;
    const bool superseded = std::any_of(range.first, range.second, [&](const auto& other) {
      return other.second != entry.second && IsServed(other.second->entry.service) &&
             IsReplacedBy(backend.process, other.second->process);
    });
    const bool before = std::exchange(backend.superseded, superseded);
    if (superseded && !before) NotifyTermination(backend);
  });
}

void BackendDirectory::RecordAnswer(Backend& backend, RegistrationNumber update) {
  backend.process.answered = std::max(backend.process.answered, update);
  if (backend.shares_address && !backend.removed) UpdateAddress(backend.entry.address);
}

void BackendDirectory::NotifyTermination(const Backend& backend) const {
  const bool announced = backend.entry.draining || backend.notice_state.leaving();
  if (on_termination_ && !announced) on_termination_(backend);
}

void BackendDirectory::SetServices(std::set<ServiceId> services) {
  services_ = std::move(services);
  for (const auto& [id, backend] : backends_) {
    if (backend->shares_address) UpdateAddress(backend->entry.address);
  }
}

void BackendDirectory::Drop(const BackendId& id) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  const BackendPtr backend = found->second;
  backend->removed = true;
  SaveNotice(*backend);
  NotifyTermination(*backend);
  RemoveFromIndexes(backend);
  backends_.erase(found);
  UpdateAddress(backend->entry.address);
}

void BackendDirectory::Remove(const BackendId& id, Duration grace, TimePoint now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  if (grace <= Duration::zero()) return Drop(id);
  Backend& backend = *found->second;
  if (!backend.grace_until) backend.grace_until = now + grace;
  in_grace_.insert(id);
}

std::vector<Registration> BackendDirectory::Replace(const std::vector<BackendEntry>& entries,
                                                    Duration grace, TimePoint now) {
  last_update_ = RegistrationNumber(last_update_.value() + 1);
  std::vector<Registration> registrations;
  std::set<BackendId> listed;
  for (const BackendEntry& entry : entries) {
    listed.insert(entry.id);
    registrations.push_back(Apply(entry));
  }
  std::vector<BackendId> missing;
  for (const auto& [id, backend] : backends_) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  for (const BackendId& id : missing) Remove(id, grace, now);
  return registrations;
}

std::vector<BackendId> BackendDirectory::Expire(TimePoint now) {
  std::vector<BackendId> expired;
  std::erase_if(in_grace_, [&](const BackendId& id) {
    const BackendPtr backend = Find(id);
    const bool waits = backend && backend->grace_until;
    if (waits && now < *backend->grace_until) return false;
    if (waits) expired.push_back(id);
    return true;
  });
  for (const BackendId& id : expired) Remove(id, Duration::zero(), now);
  return expired;
}

void BackendDirectory::Withhold(const ServiceId& service, std::optional<ReleaseId> release) {
  withheld_releases_.erase(service);
  if (release) withheld_releases_.emplace(service, std::move(*release));
}

void BackendDirectory::SetUnrecorded(const ServiceId& service, std::set<ReleaseId> releases) {
  if (releases.empty()) {
    unrecorded_releases_.erase(service);
  } else {
    unrecorded_releases_[service] = std::move(releases);
  }
}

bool BackendDirectory::IsWithheld(const Backend& backend) const {
  const auto withheld = withheld_releases_.find(backend.entry.service);
  return withheld != withheld_releases_.end() && withheld->second == backend.entry.release;
}

std::vector<BackendPtr> BackendDirectory::Usable(const ServiceId& service, TimePoint now) const {
  return WithoutWithheld(service, UsableOfAnyRelease(service, now));
}

std::vector<BackendPtr> BackendDirectory::UsableOfAnyRelease(const ServiceId& service,
                                                             TimePoint now) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return {};
  std::vector<BackendPtr> usable;
  usable.reserve(found->second.size());
  std::ranges::copy_if(found->second, std::back_inserter(usable),
                       [&](const BackendPtr& backend) { return IsUsable(*backend, now); });
  return usable;
}

std::vector<BackendPtr> BackendDirectory::WithoutWithheld(const ServiceId& service,
                                                          std::vector<BackendPtr> backends) const {
  if (!withheld_releases_.contains(service)) return backends;
  std::vector<BackendPtr> others;
  std::ranges::copy_if(backends, std::back_inserter(others),
                       [&](const BackendPtr& backend) { return !IsWithheld(*backend); });
  return others.empty() ? backends : others;
}

bool BackendDirectory::IsUnrecorded(const Backend& backend) const {
  const auto unrecorded = unrecorded_releases_.find(backend.entry.service);
  return unrecorded != unrecorded_releases_.end() &&
         unrecorded->second.contains(backend.entry.release);
}

std::vector<BackendPtr> BackendDirectory::UsableForStart(const ServiceId& service,
                                                         TimePoint now) const {
  std::vector<BackendPtr> usable = UsableOfAnyRelease(service, now);
  if (unrecorded_releases_.contains(service)) {
    std::vector<BackendPtr> recorded;
    std::ranges::copy_if(usable, std::back_inserter(recorded), [&](const BackendPtr& backend) {
      return HasPath(*backend) && !IsUnrecorded(*backend);
    });
    if (!recorded.empty()) usable = std::move(recorded);
  }
  return WithoutWithheld(service, std::move(usable));
}

bool BackendDirectory::MayStartAt(const Backend& backend, TimePoint now) const {
  if (!IsUnrecorded(backend)) return true;
  return std::ranges::none_of(OfService(backend.entry.service), [&](const BackendPtr& other) {
    return IsUsable(*other, now) && HasPath(*other) && !IsUnrecorded(*other);
  });
}

std::set<ReleaseId> BackendDirectory::ReleasesOf(const ServiceId& service) const {
  std::set<ReleaseId> releases;
  for (const BackendPtr& backend : OfService(service)) releases.insert(backend->entry.release);
  return releases;
}

std::span<const BackendPtr> BackendDirectory::OfService(const ServiceId& service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return {};
  return found->second;
}

void BackendDirectory::MarkActive(const BackendPtr& backend) {
  if (!std::exchange(backend->active, true)) active_.push_back(backend);
}

void BackendDirectory::RequestProbe(const BackendPtr& backend) {
  backend->needs_probe = true;
  MarkActive(backend);
}

const std::vector<BackendPtr>& BackendDirectory::Active() {
  std::erase_if(active_, [](const BackendPtr& backend) {
    if (!backend->removed && !IsIdle(backend)) return false;
    backend->active = false;
    return true;
  });
  return active_;
}

std::vector<BackendPtr> BackendDirectory::Sample(std::size_t count, std::uint64_t seed) const {
  std::vector<BackendPtr> sample;
  if (backends_.empty()) return sample;
  auto next = std::next(backends_.begin(), static_cast<std::ptrdiff_t>(seed % backends_.size()));
  for (std::size_t i = 0; i < std::min(count, backends_.size()); ++i) {
    sample.push_back(next->second);
    if (++next == backends_.end()) next = backends_.begin();
  }
  return sample;
}

std::size_t BackendDirectory::UnreachableCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(backends_, [](const auto& entry) { return !entry.second->reachable; }));
}

BackendPtr BackendDirectory::Find(const BackendId& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : found->second;
}

std::vector<BackendPtr> BackendDirectory::AtAddress(const std::string& address) const {
  std::vector<BackendPtr> backends;
  const auto [first, last] = by_address_.equal_range(address);
  std::transform(first, last, std::back_inserter(backends),
                 [](const auto& entry) { return entry.second; });
  return backends;
}

BackendPtr BackendDirectory::FindByHash(BackendHash hash) const {
  const auto found = by_hash_.find(hash);
  return found == by_hash_.end() ? nullptr : found->second;
}

Duration BackendDirectory::ExpectedWait(const Backend& backend, double tokens_per_ms,
                                        TimePoint now) {
  const double unread = backend.unprefilled_tokens + backend.peers.unread_tokens;
  Duration wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::max(0.0, unread) / tokens_per_ms));
  if (now - backend.first_event_wait_at < kWaitSampleTtl)
    wait = std::max(wait, backend.first_event_wait);
  if (backend.waiting_since.empty()) return wait;
  const auto oldest = std::chrono::duration_cast<Duration>(now - *backend.waiting_since.begin());
  return std::max(wait, oldest);
}

void BackendDirectory::RecordFirstEvent(Backend& backend, Duration waited, TimePoint now) {
  const bool recent = now - backend.first_event_wait_at < kWaitSampleTtl;
  const Duration known = recent ? backend.first_event_wait : Duration::zero();
  // Increases take effect at once; decreases are smoothed.
  backend.first_event_wait = std::max<Duration>(waited, (2 * known + waited) / 3);
  backend.first_event_wait_at = now;
}

void BackendDirectory::RecordProcess(Backend& backend, StartStamp started, TimePoint now) {
  const bool is_news = std::exchange(backend.answering_start, started) != started;
  const ProcessStatement told{true, started};
  if (!is_news || Match(backend.entry.started, told) != ProcessMatch::kOther) return;
  backend.cache.Clear();
  backend.avoid_until = std::max<TimePoint>(backend.avoid_until, now + kRegistrationDelay);
}

bool BackendDirectory::RecordProcessEnd(const BackendPtr& backend, TimePoint opened,
                                        TimePoint alive_at, TimePoint now) {
  if (backend->entry.started != StartStamp()) return false;
  const bool is_news = backend->continuity.RecordEnd(opened, alive_at, now);
  backend->avoid_until = std::max<TimePoint>(backend->avoid_until, now + kRegistrationDelay);
  RequestProbe(backend);
  return is_news;
}

void BackendDirectory::RecordReportedEnd(const BackendPtr& backend, TimePoint alive_at,
                                         TimePoint now) {
  if (backend->entry.started != StartStamp()) return;
  // The first contact with the next process tells when its registration is due.
  if (backend->continuity.RecordReportedEnd(alive_at, now)) RequestProbe(backend);
}

void BackendDirectory::RecordReachable(Backend& backend) {
  backend.needs_probe = false;
  backend.has_peer_path = false;
  if (std::exchange(backend.reachable, true)) return;
  // The failures were caused by the connection, not by the backend server.
  backend.avoid_until = {};
  backend.failures = 0;
}

void BackendDirectory::RecordSuccess(Backend& backend) {
  backend.failures = 0;
  backend.error_rate *= 1 - kErrorRateStep;
}

void BackendDirectory::RecordFailure(const BackendPtr& backend, TimePoint now) {
  const auto doubled = kInitialBackoff * (1U << std::min(backend->failures, 4U));
  backend->avoid_until = std::max(backend->avoid_until,
                                  now + std::min<std::chrono::milliseconds>(doubled, kMaxBackoff));
  ++backend->failures;
  RequestProbe(backend);
  RecordErrorResponse(*backend);
}

void BackendDirectory::RecordErrorResponse(Backend& backend) {
  backend.error_rate += kErrorRateStep * (1 - backend.error_rate);
}

void BackendDirectory::RecordWeights(Backend& backend, const ModelId& model,
                                     WeightsNumber weights) {
  AdvanceWeights(backend, model, weights);
}

}  // namespace ridgehold
