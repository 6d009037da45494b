#include "transport/HttpMessage.h"

#include <boost/beast/core/string.hpp>

namespace lychee::transport {

namespace {

std::string_view findHeader(const std::vector<HttpHeader> &Headers,
                            std::string_view Name) noexcept {
  for (const HttpHeader &Header : Headers)
    if (boost::beast::iequals(Header.Name_, {Name.data(), Name.size()}))
      return Header.Value_;
  return {};
}

} // namespace

std::string_view HttpRequest::header(std::string_view Name) const noexcept {
  return findHeader(Headers_, Name);
}

std::string_view HttpAnswer::header(std::string_view Name) const noexcept {
  return findHeader(Headers_, Name);
}

} // namespace lychee::transport
