#ifndef LYCHEE_BASE_KEYVALUELINE_H
#define LYCHEE_BASE_KEYVALUELINE_H

#include <concepts>
#include <string>
#include <string_view>

namespace lychee::base {

/// Builds one event's line of key=value pairs. Values that hold a space, a
/// quote, '=' or a control character are quoted and escaped, so that text from
/// a caller's header can neither end the line nor forge a second pair.
class KeyValueLine {
public:
  KeyValueLine() = default;

  /// \param Key  a name from the code, never from outside.
  KeyValueLine &add(std::string_view Key, std::string_view Value);

  template <std::integral Number>
  KeyValueLine &add(std::string_view Key, Number Value) {
    return add(Key, std::string_view(std::to_string(Value)));
  }

  const std::string &text() const noexcept { return Text_; }

private:
  std::string Text_;
};

} // namespace lychee::base

#endif
