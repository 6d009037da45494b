#ifndef LYCHEE_GATEWAY_MESSAGEREADER_H
#define LYCHEE_GATEWAY_MESSAGEREADER_H

#include "gateway/AsioTypes.h"
#include "gateway/Watch.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <span>
#include <string_view>

namespace lychee::gateway {

/// What a connection's buffer takes while a body is read from it.
inline constexpr std::size_t BodyReadBytes = 64UL * 1024;

/// How reading a part of a message ended.
enum class ReadEnd {
  Ok,
  /// The peer closed before the first byte of a message.
  Closed,
  /// The connection ended, or its watch fired, inside a message.
  Cut,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

/// Limits on one message.
struct MessageLimits {
  std::size_t HeadBytes_ = 0;
  std::uint64_t BodyBytes_ = 0;
};

/// Reads one HTTP message, and no second, off a connection: the head whole, the
/// body in pieces as they come, so that memory stays bounded for any length.
/// Parsing is Beast's; heads that two readers could understand differently are
/// refused before. Instantiated for requests and for answers.
/// \see findHeadFault
template <bool IsRequest> class MessageReader {
public:
  using Parser =
      boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>;
  using Message = typename Parser::value_type;

  /// All three outlive the reader, and the watch bounds each operation.
  MessageReader(Socket &Peer, ReadBuffer &Buffer, const Watch &Bound,
                const MessageLimits &Limits);
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  /// \param WithoutBody  the message has none whatever its head says, as the
  /// answer to a HEAD request.
  Task<ReadEnd> readHead(bool WithoutBody = false);

  /// Reads at least one byte of the body into \p Out, unless it is at its end.
  /// \param Got  becomes the number of bytes; 0 with Ok: the body is whole.
  Task<ReadEnd> readBody(std::span<char> Out, std::size_t &Got);

  /// The end of the connection does not tell whether it was reset: a body that
  /// ends with it counts as cut.
  void distrustEnd() noexcept { TrustsEnd_ = false; }

  const Message &message() const { return Parser_.get(); }
  bool isWhole() const { return Parser_.is_done(); }
  bool isChunked() const { return Parser_.chunked(); }
  /// The body ends with the connection, so a cut cannot be told from the end.
  bool endsWithConnection() const { return EndsWithConnection_; }
  std::optional<std::uint64_t> bodyLength() const;

private:
  Task<ReadEnd> readMore();
  Task<ReadEnd> findHead(std::size_t &Length);
  ReadEnd takeBody(std::span<char> Out, std::size_t &Got);
  ReadEnd takeEnd();
  void skipEmptyLines();

  Socket &Peer_;
  ReadBuffer &Buffer_;
  const Watch &Bound_;
  const MessageLimits Limits_;
  Parser Parser_;
  bool EndsWithConnection_ = false;
  /// The peer ended its side in order, not by a reset.
  bool SawEnd_ = false;
  bool TrustsEnd_ = true;
};

using RequestReader = MessageReader<true>;
using AnswerReader = MessageReader<false>;

/// \returns what is wrong with the raw head of a message, empty where nothing
/// is: a line feed without its carriage return, a header folded over two
/// lines, a NUL. Parsers differ on these, and a request that we and a target
/// split at different places would carry a second one inside (smuggling).
std::string_view findHeadFault(std::string_view Head) noexcept;

} // namespace lychee::gateway

#endif
