#ifndef LYCHEE_TESTS_SUPPORT_REQUIRE_H
#define LYCHEE_TESTS_SUPPORT_REQUIRE_H

#include <optional>
#include <utility>

#include "CppUTest/TestHarness.h"

namespace lychee::tests {

/// \returns what \p Given holds; the test fails where it holds nothing.
template <typename Value> Value require(std::optional<Value> Given) {
  CHECK_TEXT(Given.has_value(), "a value was expected");
  return Given ? std::move(*Given) : Value();
}

} // namespace lychee::tests

#endif
