// Result<T>: a value or a Failure, based on Boost.LEAF.

#pragma once

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "base/result_code.h"

namespace ridgehold {

/// Why an operation failed: a result code and a human-readable message.
struct Failure {
  ResultCode code = ResultCode::kInternal;
  std::string detail;
};

template <class T>
using Result = boost::leaf::result<T>;

/// Returns a failed result: `return Fail(ResultCode::kSyntax, "line 3: ...");`
inline boost::leaf::error_id Fail(ResultCode code, std::string detail) {
  return boost::leaf::new_error(Failure{code, std::move(detail)});
}

/// Returns an existing failure as a failed result.
inline boost::leaf::error_id Fail(Failure failure) {
  return boost::leaf::new_error(std::move(failure));
}

/// Runs `operation`, which returns a Result, and returns its value. On failure returns
/// `on_failure(const Failure&)` instead.
///
///     int port = ValueOr([&] { return ParsePort(text); },
///                        [](const Failure&) { return 0; });
template <class Operation, class OnFailure>
auto ValueOr(Operation&& operation, OnFailure&& on_failure) {
  return boost::leaf::try_handle_all(
      std::forward<Operation>(operation),
      [&](const Failure& failure) { return on_failure(failure); },
      [&] {
        return on_failure(Failure{ResultCode::kInternal, "no detail"});
      });
}

/// Runs `operation`, which returns a Result, and replaces its failure, if any, by
/// `change(const Failure&)`.
///
/// The new failure is created outside of LEAF's error handler: an error created inside the
/// handler would be overwritten when the original one is propagated.
template <class Operation, class Change>
auto MapFailure(Operation&& operation, Change&& change) -> decltype(operation()) {
  using Value = std::decay_t<decltype(operation().value())>;
  std::optional<Failure> changed;
  std::optional<Value> value = ValueOr(
      [&]() -> Result<std::optional<Value>> {
        BOOST_LEAF_AUTO(taken, operation());
        return std::optional<Value>(std::move(taken));
      },
      [&](const Failure& failure) {
        changed = change(failure);
        return std::optional<Value>();
      });
  if (changed) return Fail(std::move(*changed));
  return std::move(*value);
}

/// Runs `operation`, which returns a Result, and returns its failure, if any.
template <class Operation>
std::optional<Failure> FailureOf(Operation&& operation) {
  return ValueOr(
      [&]() -> Result<std::optional<Failure>> {
        BOOST_LEAF_CHECK(operation());
        return std::optional<Failure>();
      },
      [](const Failure& failure) { return std::optional(failure); });
}

}  // namespace ridgehold
