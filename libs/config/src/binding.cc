#include "binding.h"

#include <charconv>
#include <span>

#include "config/config.h"

namespace ridgehold {
namespace {

constexpr std::uint32_t kMaxShare = 1'000;
constexpr std::uint32_t kMaxStreams = 1'000'000;
constexpr std::size_t kSha256HexLength = 64;

template <class Value>
struct NamedValue {
  std::string_view name;
  Value value;
};

constexpr NamedValue<PolicyKind> kPolicies[] = {{"prefix-cost", PolicyKind::kPrefixCost},
                                                {"prefix-hash", PolicyKind::kPrefixHash},
                                                {"least-loaded", PolicyKind::kLeastLoaded},
                                                {"round-robin", PolicyKind::kRoundRobin}};
constexpr NamedValue<Deduplication> kDeduplications[] = {{"none", Deduplication::kNone},
                                                         {"platform", Deduplication::kPlatform},
                                                         {"service", Deduplication::kService}};
constexpr NamedValue<bool> kReloads[] = {{"auto", true}, {"manual", false}};
constexpr NamedValue<bool> kYesNo[] = {{"yes", true}, {"no", false}};

template <class Value, std::size_t N>
std::string_view NameOf(const NamedValue<Value> (&names)[N], Value value) {
  for (const auto& entry : names) {
    if (entry.value == value) return entry.name;
  }
  return names[0].name;
}

/// Moves attributes into fields, one call a known attribute; Done() refuses
/// the rest.
class Binder {
 public:
  explicit Binder(const Statement& statement)
      : statement_(statement), used_(statement.attributes.size(), false) {}

  Binder& Text(std::string_view name, std::string& field) {
    if (const Attribute* attribute = Take(name)) field = attribute->value;
    return *this;
  }

  template <class Tag>
  Binder& Id(std::string_view name, Strong<Tag, std::string>& field) {
    if (const Attribute* attribute = Take(name)) {
      field = Strong<Tag, std::string>(attribute->value);
    }
    return *this;
  }

  Binder& Count(std::string_view name, std::uint32_t& field, std::uint32_t most) {
    const Attribute* attribute = Take(name);
    if (attribute == nullptr) return *this;
    const std::string& text = attribute->value;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), field);
    if (error != std::errc{} || end != text.data() + text.size() || field < 1 || field > most) {
      SetFault(*attribute, "is not a number from 1 to " + std::to_string(most));
    }
    return *this;
  }

  template <class Value, std::size_t N>
  Binder& Choice(std::string_view name, Value& field, const NamedValue<Value> (&names)[N]) {
    const Attribute* attribute = Take(name);
    if (attribute == nullptr) return *this;
    for (const auto& entry : names) {
      if (entry.name != attribute->value) continue;
      field = entry.value;
      return *this;
    }
    SetFault(*attribute, "cannot be " + attribute->value);
    return *this;
  }

  Result<void> Done() {
    for (std::size_t i = 0; i < used_.size(); ++i) {
      const Attribute& attribute = statement_.attributes[i];
      if (!used_[i]) SetFault(attribute, "is not an attribute here, or stands twice");
    }
    if (!fault_.empty()) return detail::Invalid(statement_.line, fault_column_, fault_);
    return {};
  }

 private:
  const Attribute* Take(std::string_view name) {
    for (std::size_t i = 0; i < used_.size(); ++i) {
      if (used_[i] || statement_.attributes[i].name != name) continue;
      used_[i] = true;
      return &statement_.attributes[i];
    }
    return nullptr;
  }

  void SetFault(const Attribute& attribute, const std::string& fault) {
    if (!fault_.empty()) return;
    fault_ = attribute.name + " " + fault;
    fault_column_ = attribute.column;
  }

  const Statement& statement_;
  std::vector<bool> used_;
  std::string fault_;
  int fault_column_ = 0;
};

Statement Creating(Subject subject, std::string name, std::vector<Attribute> attributes) {
  Statement statement;
  statement.verb = Verb::kCreate;
  statement.subject = subject;
  statement.name = std::move(name);
  statement.attributes = std::move(attributes);
  return statement;
}

Attribute Named(std::string_view name, std::string_view value) {
  return {std::string(name), std::string(value), 0};
}

bool IsHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

Result<void> Require(const Statement& statement, bool holds, const std::string& fault) {
  if (!holds) return detail::Invalid(statement.line, statement.column, fault);
  return {};
}

}  // namespace

std::string_view ToString(PolicyKind kind) { return NameOf(kPolicies, kind); }

namespace detail {

Result<void> Bind(const Statement& statement, Workspace& workspace) {
  return Binder(statement)
      .Count("share", workspace.share, kMaxShare)
      .Count("max-streams", workspace.max_streams, kMaxStreams)
      .Done();
}

Result<void> Bind(const Statement& statement, KeyGrant& key) {
  BOOST_LEAF_CHECK(Binder(statement).Id("workspace", key.workspace).Done());
  return Require(statement, key.sha256.size() == kSha256HexLength && IsHex(key.sha256),
                 "a key is named by the 64 lower-case hexadecimal digits of its SHA-256");
}

Result<void> Bind(const Statement& statement, Model& model) {
  BOOST_LEAF_CHECK(Binder(statement)
                       .Id("weights", model.weights)
                       .Choice("reload", model.reloads, kReloads)
                       .Done());
  return Require(statement, !model.weights.value().empty(), "a model needs weights VERSION");
}

Result<void> Bind(const Statement& statement, BackendServer& backend) {
  BOOST_LEAF_CHECK(Binder(statement)
                       .Text("url", backend.url)
                       .Id("zone", backend.zone)
                       .Id("engine", backend.model)
                       .Id("service", backend.service)
                       .Choice("draining", backend.draining, kYesNo)
                       .Choice("fencing", backend.checks_fencing, kYesNo)
                       .Done());
  BOOST_LEAF_CHECK(
      Require(statement, backend.url.starts_with("http"), "a backend server needs url http://..."));
  BOOST_LEAF_CHECK(
      Require(statement, !backend.zone.value().empty(), "a backend server needs zone NAME"));
  return Require(statement, backend.model.value().empty() != backend.service.value().empty(),
                 "a backend server needs either engine MODEL or service NAME");
}

Result<void> Bind(const Statement& statement, RoutingRule& rule) {
  BOOST_LEAF_CHECK(Binder(statement)
                       .Id("model", rule.model)
                       .Choice("policy", rule.policy, kPolicies)
                       .Text("path", rule.path)
                       .Id("service", rule.service)
                       .Choice("repeatable", rule.repeatable, kYesNo)
                       .Choice("dedup", rule.deduplication, kDeduplications)
                       .Done());
  BOOST_LEAF_CHECK(Require(statement, rule.model.value().empty() != rule.path.empty(),
                           "a rule needs either model NAME or path /PREFIX"));
  BOOST_LEAF_CHECK(Require(statement, rule.path.empty() || rule.path.starts_with('/'),
                           "a rule's path starts with /"));
  return Require(statement, rule.path.empty() == rule.service.value().empty(),
                 "a rule with a path needs service NAME");
}

Statement ToCreate(const Workspace& workspace) {
  return Creating(Subject::kWorkspace, workspace.id.value(),
                  {Named("share", std::to_string(workspace.share)),
                   Named("max-streams", std::to_string(workspace.max_streams))});
}

Statement ToCreate(const KeyGrant& key) {
  return Creating(Subject::kKey, key.sha256, {Named("workspace", key.workspace.value())});
}

Statement ToCreate(const Model& model) {
  return Creating(
      Subject::kModel, model.id.value(),
      {Named("weights", model.weights.value()), Named("reload", NameOf(kReloads, model.reloads))});
}

Statement ToCreate(const BackendServer& backend) {
  std::vector<Attribute> attributes = {Named("url", backend.url),
                                       Named("zone", backend.zone.value())};
  attributes.push_back(backend.is_engine() ? Named("engine", backend.model.value())
                                           : Named("service", backend.service.value()));
  attributes.push_back(Named("draining", NameOf(kYesNo, backend.draining)));
  attributes.push_back(Named("fencing", NameOf(kYesNo, backend.checks_fencing)));
  return Creating(Subject::kBackend, backend.id.value(), std::move(attributes));
}

Statement ToCreate(const RoutingRule& rule) {
  std::vector<Attribute> attributes;
  if (rule.path.empty()) {
    attributes = {Named("model", rule.model.value()), Named("policy", ToString(rule.policy))};
  } else {
    attributes = {Named("path", rule.path), Named("service", rule.service.value()),
                  Named("repeatable", NameOf(kYesNo, rule.repeatable)),
                  Named("dedup", NameOf(kDeduplications, rule.deduplication))};
  }
  return Creating(Subject::kRule, rule.id.value(), std::move(attributes));
}

}  // namespace detail
}  // namespace ridgehold
