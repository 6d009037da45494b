#ifndef LYCHEE_TRANSPORT_HTTPMESSAGE_H
#define LYCHEE_TRANSPORT_HTTPMESSAGE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::transport {

/// Bytes of a message that are read and not yet used: a head, or a part of a
/// body with the lines around it. The parser bounds heads and bodies only; a
/// chunk's size line and its extensions would be kept at any length.
inline constexpr std::size_t ReadBufferBytes = 128UL << 10;

/// One header line of a message.
struct HttpHeader {
  std::string Name_;
  std::string Value_;
};

/// A whole request, its body in memory.
struct HttpRequest {
  std::string Method_ = "GET";
  /// Path and query.
  std::string Target_ = "/";
  std::vector<HttpHeader> Headers_;
  std::string Body_;

  /// \returns the value of the header, names compared without case; empty
  /// where it is absent.
  std::string_view header(std::string_view Name) const noexcept;
};

/// A whole answer, its body in memory.
struct HttpAnswer {
  unsigned Status_ = 200;
  std::vector<HttpHeader> Headers_;
  std::string Body_;
  /// The listener closes the connection instead of sending this answer: how a
  /// stand-in loses one.
  bool Lost_ = false;

  /// \copydoc HttpRequest::header
  std::string_view header(std::string_view Name) const noexcept;
};

} // namespace lychee::transport

#endif
