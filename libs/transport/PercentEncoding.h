#ifndef LYCHEE_TRANSPORT_PERCENTENCODING_H
#define LYCHEE_TRANSPORT_PERCENTENCODING_H

#include <string>
#include <string_view>

namespace lychee::transport {

/// Escapes all bytes but the unreserved characters (RFC 3986 2.3). To be used
/// for each name that becomes a segment of a path or a value of a query.
std::string percentEncode(std::string_view Text);

} // namespace lychee::transport

#endif
