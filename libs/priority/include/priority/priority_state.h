// What one gateway knows for ordering its requests.

#pragma once

#include "priority/arrival_refusals.h"
#include "priority/wait_forecast.h"
#include "priority/workspace_shares.h"

namespace ridgehold {

/// All of it is relearned after a restart within seconds.
struct PriorityState {
  WorkspaceShares shares;
  WaitForecasts forecasts;
  ArrivalRefusals refusals;
};

}  // namespace ridgehold
