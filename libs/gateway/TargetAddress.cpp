#include "gateway/TargetAddress.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace lychee::gateway {

std::optional<Tcp::endpoint> parseTargetAddress(std::string_view Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::uint16_t Port = 0;
  const std::string_view Digits = Address.substr(Colon + 1);
  const auto [End, Failure] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Failure != std::errc() || End != Digits.data() + Digits.size())
    return std::nullopt;
  ErrorCode Error;
  const auto Parsed = boost::asio::ip::make_address(
      std::string(Address.substr(0, Colon)), Error);
  if (Error || Port == 0)
    return std::nullopt;
  return Tcp::endpoint(Parsed, Port);
}

} // namespace lychee::gateway
