// Starts coroutines whose exceptions are logged instead of lost.

#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "net/beast.h"

namespace ridgehold {

/// Starts `task` on `executor`. An exception that leaves it ends this task only, and is logged
/// under `name`; `on_exception` then takes back what the task has left undone.
void Spawn(net::any_io_executor executor, std::string name, net::awaitable<void> task,
           std::function<void()> on_exception = {});

/// Work that is done for as long as the process runs. Each call starts it anew.
using Duty = std::function<net::awaitable<void>()>;

/// Runs `duty` on `executor` until it returns. After an exception, which is logged under `name`, it
/// is started again once kDutyRestartDelay has passed: an instance without one of its duties looks
/// healthy and misleads the others.
void SpawnDuty(net::any_io_executor executor, std::string name, Duty duty);

/// Limits what a duty that fails at once costs.
inline constexpr std::chrono::milliseconds kDutyRestartDelay{500};

/// Logs an exception that left the work `name`.
void LogException(const std::string& name, const std::exception_ptr& error);

}  // namespace ridgehold
