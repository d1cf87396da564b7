// Strongly typed ids and time types used throughout the system.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/strong.h"

namespace ridgehold {

using WorkspaceId = Strong<struct WorkspaceIdTag, std::string>;
using ModelId = Strong<struct ModelIdTag, std::string>;
/// Operator-assigned name of a version of a model's weights, including its adapter.
using WeightsVersion = Strong<struct WeightsVersionTag, std::string>;
using BackendId = Strong<struct BackendIdTag, std::string>;
/// Version of the software that a backend server runs.
using ReleaseId = Strong<struct ReleaseIdTag, std::string>;
using RuleId = Strong<struct RuleIdTag, std::string>;
using ServiceId = Strong<struct ServiceIdTag, std::string>;
using ZoneId = Strong<struct ZoneIdTag, std::string>;
/// A group of availability zones that are close to each other.
using RegionId = Strong<struct RegionIdTag, std::string>;
using DaemonId = Strong<struct DaemonIdTag, std::string>;
using RequestId = Strong<struct RequestIdTag, std::string>;
using ChangeId = Strong<struct ChangeIdTag, std::string>;

/// Changes with every restart of a process, to distinguish a restarted process from its
/// predecessor on the same address.
using Incarnation = Strong<struct IncarnationTag, std::string>;

/// Start time of a backend server's process as the server reports it, in Unix milliseconds;
/// 0 if unknown. Of two incarnations with the same id, the one that started later is current.
using StartStamp = Strong<struct StartStampTag, std::uint64_t>;

/// Identifies one incarnation of a backend server in messages between gateways; see HashOf().
using BackendHash = std::uint64_t;

/// Equal for repeated requests of one workspace; see FingerprintOf().
using RequestFingerprint = Strong<struct RequestFingerprintTag, std::uint64_t>;

/// Revision of the configuration: 0 for the empty one, incremented by each accepted change.
using Revision = Strong<struct RevisionTag, std::uint64_t>;

using TimePoint = Clock::time_point;
using Duration = std::chrono::microseconds;

}  // namespace ridgehold
