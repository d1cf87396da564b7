// Reads EntryTuning from the command line and from an INI file.

#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/result.h"
#include "entry/entry_tuning.h"

namespace CLI {  // NOLINT(readability-identifier-naming): the library's own name
class App;
}  // namespace CLI

namespace ridgehold {

struct IniEntry;

/// Each setting is an option `--section.key`, and a line `key = value` under `[section]` in the
/// file. The command line takes precedence over the file.
class TuningOptions {
 public:
  /// Adds options to `app` that set the fields of `tuning`. Both must outlive this object.
  static TuningOptions Create(CLI::App& app, EntryTuning& tuning);

  /// Applies the settings in the file at `path`; call it after parsing the command line. Fails with
  /// kInvalidSettings if the file is missing, or if it has an unknown section or key, a malformed
  /// line, an invalid value or a duplicate key. The detail has a line `file:line: error` for each.
  Result<void> ReadFile(const std::string& path);

  /// Returns the effective value of each setting, by `section.key`.
  std::map<std::string, std::string> EffectiveValues() const;

 private:
  explicit TuningOptions(CLI::App& app) : app_(app) {}

  void AddPlacement(PlacementCosts& placement);
  void AddLimits(EntryTuning& tuning);
  void AddRollout(EntryTuning& tuning);

  /// Adds an option whose value is a fraction from 0 to 1.
  void AddFraction(const std::string& name, double& field, const std::string& help);
  /// Adds an option whose value is a non-negative number or a boolean.
  template <class Field>
  void Add(const std::string& name, Field& field, const std::string& help);

  /// Applies the entry. Returns an error message, or an empty string on success.
  std::string Apply(const IniEntry& entry);

  CLI::App& app_;
  std::map<std::string, std::function<std::string()>> value_getters_;  ///< by `section.key`
  std::map<std::string, int> lines_;  ///< line of the file that set each, by `section.key`
};

}  // namespace ridgehold
