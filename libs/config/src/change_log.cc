#include "config/change_log.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/random_id.h"
#include "oplang/parser.h"

namespace ridgehold {
namespace {

constexpr char kEmptyDigest[] = "0";

std::string ToHex(XXH128_hash_t hash) {
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : canonical.digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

/// Applies a script that this log was offered; nothing on failure.
std::optional<Config> TryApply(const Config& base, const std::string& script) {
  return ValueOr(
      [&]() -> Result<std::optional<Config>> {
        BOOST_LEAF_AUTO(config, ApplyScript(base, script));
        return std::optional(std::move(config));
      },
      [](const Failure&) { return std::optional<Config>(); });
}

}  // namespace

std::string ChainDigest(const std::string& previous, const std::string& id,
                        const std::string& script) {
  const std::string text = previous + "\n" + id + "\n" + script;
  return ToHex(XXH3_128bits(text.data(), text.size()));
}

Result<Config> ApplyScript(const Config& base, const std::string& script) {
  BOOST_LEAF_AUTO(statements, ParseScript(script));
  Config config = base;
  for (const Statement& statement : statements) BOOST_LEAF_CHECK(config.Apply(statement));
  return config;
}

ChangeLog::ChangeLog() : digest_(kEmptyDigest), config_(std::make_shared<Config>()) {}

Result<wire::ChangeRecord> ChangeLog::Propose(const std::string& script, const ChangeId& id,
                                              const std::string& author) const {
  BOOST_LEAF_CHECK(ApplyScript(*config_, script));
  wire::ChangeRecord record;
  record.set_revision(revision_ + 1);
  record.set_id(id.value());
  record.set_previous_digest(digest_);
  record.set_digest(ChainDigest(digest_, id.value(), script));
  record.set_script(script);
  record.set_author(author);
  return record;
}

Offer ChangeLog::Take(const wire::ChangeRecord& record) {
  if (record.revision() <= revision_) {
    const auto known = DigestAt(Revision(record.revision()));
    return known && *known != record.digest() ? Offer::kDiverged : Offer::kKnown;
  }
  if (record.revision() > revision_ + 1) return Offer::kGap;
  if (record.previous_digest() != digest_) return Offer::kDiverged;
  if (record.digest() != ChainDigest(digest_, record.id(), record.script())) {
    return Offer::kInvalid;
  }
  auto config = TryApply(*config_, record.script());
  if (!config) return Offer::kInvalid;
  config_ = std::make_shared<const Config>(std::move(*config));
  revision_ = record.revision();
  digest_ = record.digest();
  kept_.push_back(record);
  if (kept_.size() > kKeptChanges) kept_.pop_front();
  return Offer::kApplied;
}

Offer ChangeLog::Take(const wire::Snapshot& snapshot) {
  if (snapshot.revision() <= revision_) {
    const auto known = DigestAt(Revision(snapshot.revision()));
    return known && *known != snapshot.digest() ? Offer::kDiverged : Offer::kKnown;
  }
  if (snapshot.script_sha256() != Sha256Hex(snapshot.script())) return Offer::kInvalid;
  auto config = TryApply(Config(), snapshot.script());
  if (!config) return Offer::kInvalid;
  config_ = std::make_shared<const Config>(std::move(*config));
  revision_ = snapshot.revision();
  digest_ = snapshot.digest();
  kept_.clear();
  return Offer::kApplied;
}

std::optional<std::vector<wire::ChangeRecord>> ChangeLog::ChangesAfter(Revision revision) const {
  if (revision.value() >= revision_) return std::vector<wire::ChangeRecord>();
  const std::uint64_t missing = revision_ - revision.value();
  if (missing > kept_.size()) return std::nullopt;
  return std::vector<wire::ChangeRecord>(kept_.end() - static_cast<std::ptrdiff_t>(missing),
                                         kept_.end());
}

std::optional<std::string> ChangeLog::DigestAt(Revision revision) const {
  if (revision.value() == revision_) return digest_;
  if (revision.value() > revision_) return std::nullopt;
  const std::uint64_t back = revision_ - revision.value();
  if (back > kept_.size()) return std::nullopt;
  // The change after `revision` says which digest it was made for.
  return kept_[kept_.size() - back].previous_digest();
}

const wire::ChangeRecord* ChangeLog::Find(const ChangeId& id) const {
  const auto found = std::ranges::find_if(
      kept_, [&](const wire::ChangeRecord& record) { return record.id() == id.value(); });
  return found == kept_.end() ? nullptr : &*found;
}

wire::Snapshot ChangeLog::MakeSnapshot() const {
  wire::Snapshot snapshot;
  snapshot.set_revision(revision_);
  snapshot.set_digest(digest_);
  snapshot.set_script(FormatScript(config_->ToStatements()));
  snapshot.set_script_sha256(Sha256Hex(snapshot.script()));
  return snapshot;
}

}  // namespace ridgehold
