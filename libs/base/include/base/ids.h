// Ids and units used all over the system.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/strong.h"

namespace ridgehold {

using WorkspaceId = Strong<struct WorkspaceIdTag, std::string>;
using ModelId = Strong<struct ModelIdTag, std::string>;
/// The version of a model's weights, adapter included, as the operator names it.
using WeightsVersion = Strong<struct WeightsVersionTag, std::string>;
using BackendId = Strong<struct BackendIdTag, std::string>;
using RuleId = Strong<struct RuleIdTag, std::string>;
using ServiceId = Strong<struct ServiceIdTag, std::string>;
using ZoneId = Strong<struct ZoneIdTag, std::string>;
using DaemonId = Strong<struct DaemonIdTag, std::string>;
using RequestId = Strong<struct RequestIdTag, std::string>;
using ChangeId = Strong<struct ChangeIdTag, std::string>;

/// Differs after each restart of a process, so that a successor on the same
/// address is told from its predecessor.
using Incarnation = Strong<struct IncarnationTag, std::string>;

/// When a backend server's process started, as it says itself, in Unix
/// milliseconds; 0: not known. Of two incarnations with one id the later counts.
using StartStamp = Strong<struct StartStampTag, std::uint64_t>;

/// The configuration's revision: 0 is empty, and each accepted change adds 1.
using Revision = Strong<struct RevisionTag, std::uint64_t>;

using TimePoint = Clock::time_point;
using Duration = std::chrono::microseconds;

}  // namespace ridgehold
