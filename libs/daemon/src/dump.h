// A daemon's whole state as JSON, for `ridgehold dump`.

#pragma once

#include <string>

namespace ridgehold {

class ConfigSync;
class InFlightTable;
class Router;
struct DaemonIdentity;

/// What of the state lies outside of the tables.
struct DumpFlags {
  bool ready = false;
  bool shutting_down = false;
};

std::string MakeDump(const DaemonIdentity& identity, const DumpFlags& flags, const ConfigSync& sync,
                     const Router& router, const InFlightTable& in_flight);

}  // namespace ridgehold
