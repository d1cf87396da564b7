// An entry instance's own settings, from the command line and from an INI file.

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

/// Each setting is an option `--section.key`, and the line `key = value` under
/// `[section]` in the file. The command line goes before the file.
class TuningOptions {
 public:
  /// Adds the options to `app`, which fill `tuning`. Both outlive this object.
  static TuningOptions Create(CLI::App& app, EntryTuning& tuning);

  /// Takes the settings of the file at `path`; call it after the command line
  /// was parsed. Fails with kInvalidSettings and, in its detail, a line
  /// `file:line: fault` for each fault: a section, key or line that is not known,
  /// a value that does not fit, a key that is set twice, or a missing file.
  Result<void> ReadFile(const std::string& path);

  /// The value in force of each setting, by `section.key`.
  std::map<std::string, std::string> InForce() const;

 private:
  explicit TuningOptions(CLI::App& app) : app_(app) {}

  void AddPlacement(PlacementCosts& placement);
  void AddLimits(EntryTuning& tuning);
  void AddRollout(EntryTuning& tuning);

  /// A share of a whole, 0 to 1.
  void AddPart(const std::string& name, double& field, const std::string& help);
  /// A figure of 0 or more, or a switch.
  template <class Field>
  void Add(const std::string& name, Field& field, const std::string& help);

  /// Returns the fault in the entry, empty if there is none.
  std::string Apply(const IniEntry& entry);

  CLI::App& app_;
  std::map<std::string, std::function<std::string()>> values_;  ///< by `section.key`
  std::map<std::string, int> lines_;                            ///< where the file set them
};

}  // namespace ridgehold
