#include "gateway/MessageReader.h"

#include <boost/beast/http/error.hpp>

namespace lychee::gateway {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
/// A small request or answer comes whole in one read.
constexpr std::size_t FirstReadBytes = 8UL * 1024;
/// The size line of a chunk, its extensions and the trailers must be shorter.
constexpr std::size_t ChunkHeadBytes = 8UL * 1024;

std::string_view textOf(const ReadBuffer &Buffer) {
  return {static_cast<const char *>(Buffer.cdata().data()), Buffer.size()};
}

bool hasStatusOfAnswer(const RequestReader::Message & /*Head*/) { return true; }

/// Others than 100 to 599 are no statuses (RFC 9110 15).
bool hasStatusOfAnswer(const AnswerReader::Message &Head) {
  return Head.result_int() >= 100 && Head.result_int() < 600;
}

ReadEnd endOf(const ErrorCode &Error) {
  if (Error == http::error::body_limit)
    return ReadEnd::BodyTooLarge;
  if (Error == http::error::header_limit)
    return ReadEnd::HeadTooLarge;
  return ReadEnd::Malformed;
}

} // namespace

std::string_view findHeadFault(std::string_view Head) noexcept {
  for (std::size_t Index = 0; Index < Head.size(); ++Index) {
    const char Character = Head[Index];
    if (Character == '\0')
      return "a NUL stands in the head";
    if (Character == '\n') {
      if (Index == 0 || Head[Index - 1] != '\r')
        return "a line ends without its carriage return";
      if (Index + 1 < Head.size() &&
          (Head[Index + 1] == ' ' || Head[Index + 1] == '\t'))
        return "a header is folded over two lines";
    }
    if (Character == '\r' &&
        (Index + 1 == Head.size() || Head[Index + 1] != '\n'))
      return "a carriage return stands alone";
  }
  return {};
}

template <bool IsRequest>
MessageReader<IsRequest>::MessageReader(Socket &Peer, ReadBuffer &Buffer,
                                        const Watch &Bound,
                                        const MessageLimits &Limits)
    : Peer_(Peer), Buffer_(Buffer), Bound_(Bound), Limits_(Limits) {}

template <bool IsRequest>
std::optional<std::uint64_t> MessageReader<IsRequest>::bodyLength() const {
  const auto Length = Parser_.content_length();
  if (!Length)
    return std::nullopt;
  return *Length;
}

template <bool IsRequest> Task<ReadEnd> MessageReader<IsRequest>::readMore() {
  const std::size_t Room = Buffer_.size() == 0 && !Parser_.is_header_done()
                               ? FirstReadBytes
                               : BodyReadBytes;
  const auto [Error, Count] =
      co_await Peer_.async_read_some(Buffer_.prepare(Room), Await);
  SawEnd_ = Error == boost::asio::error::eof && !Bound_.fired();
  Buffer_.commit(Count);
  co_return Error || Bound_.fired() ? ReadEnd::Cut : ReadEnd::Ok;
}

template <bool IsRequest> void MessageReader<IsRequest>::skipEmptyLines() {
  // RFC 9112 2.2: a server ignores an empty line before the request line.
  while (IsRequest && textOf(Buffer_).starts_with("\r\n"))
    Buffer_.consume(2);
}

template <bool IsRequest>
Task<ReadEnd> MessageReader<IsRequest>::findHead(std::size_t &Length) {
  std::size_t SearchFrom = 0;
  while (true) {
    skipEmptyLines();
    const std::string_view Text = textOf(Buffer_);
    const std::size_t Found = Text.find(HeadEnd, SearchFrom);
    Length = Found + HeadEnd.size();
    if (Found != std::string_view::npos)
      co_return Length > Limits_.HeadBytes_ ? ReadEnd::HeadTooLarge
                                            : ReadEnd::Ok;
    if (Text.size() >= Limits_.HeadBytes_)
      co_return ReadEnd::HeadTooLarge;
    // A head that goes wrong early would otherwise be waited for in vain.
    const std::size_t Half = Text.ends_with('\r') ? 1 : 0;
    if (!findHeadFault(Text.substr(0, Text.size() - Half)).empty())
      co_return ReadEnd::Malformed;
    SearchFrom =
        Text.size() < HeadEnd.size() ? 0 : Text.size() - HeadEnd.size();
    const bool Empty = Text.empty();
    const ReadEnd More = co_await readMore();
    if (More != ReadEnd::Ok)
      co_return Empty ? ReadEnd::Closed : ReadEnd::Cut;
  }
}

template <bool IsRequest>
Task<ReadEnd> MessageReader<IsRequest>::readHead(bool WithoutBody) {
  Parser_.body_limit(Limits_.BodyBytes_);
  Parser_.header_limit(static_cast<std::uint32_t>(Limits_.HeadBytes_));
  Parser_.skip(WithoutBody);
  std::size_t Length = 0;
  const ReadEnd End = co_await findHead(Length);
  if (End != ReadEnd::Ok)
    co_return End;
  if (!findHeadFault(textOf(Buffer_).substr(0, Length)).empty())
    co_return ReadEnd::Malformed;
  ErrorCode Error;
  const std::size_t Used =
      Parser_.put(boost::asio::buffer(Buffer_.cdata(), Length), Error);
  Buffer_.consume(Used);
  if (Error)
    co_return endOf(Error);
  if (Used != Length || !Parser_.is_header_done())
    co_return ReadEnd::Malformed;
  if (!hasStatusOfAnswer(Parser_.get()))
    co_return ReadEnd::Malformed;
  Parser_.eager(true);
  EndsWithConnection_ = Parser_.need_eof();
  co_return ReadEnd::Ok;
}

template <bool IsRequest>
ReadEnd MessageReader<IsRequest>::takeBody(std::span<char> Out,
                                           std::size_t &Got) {
  auto &Body = Parser_.get().body();
  Body.data = Out.data();
  Body.size = Out.size();
  Body.more = true;
  ErrorCode Error;
  while (Buffer_.size() > 0 && !Parser_.is_done() && !Error) {
    const std::size_t Used = Parser_.put(Buffer_.cdata(), Error);
    Buffer_.consume(Used);
    if (Used == 0)
      break;
  }
  Got = Out.size() - Body.size;
  Body.data = nullptr;
  Body.size = 0;
  if (Error == http::error::need_more || Error == http::error::need_buffer)
    return Got == 0 && Buffer_.size() > ChunkHeadBytes ? ReadEnd::Malformed
                                                       : ReadEnd::Ok;
  return Error ? endOf(Error) : ReadEnd::Ok;
}

template <bool IsRequest>
Task<ReadEnd> MessageReader<IsRequest>::readBody(std::span<char> Out,
                                                 std::size_t &Got) {
  while (true) {
    const ReadEnd End = takeBody(Out, Got);
    if (End != ReadEnd::Ok || Got > 0 || Parser_.is_done())
      co_return End;
    const ReadEnd More = co_await readMore();
    if (More != ReadEnd::Ok)
      co_return takeEnd();
  }
}

/// A body without a length is whole where the peer ended its side in order; a
/// reset or a time-out in it is a cut (RFC 9112 6.3).
template <bool IsRequest> ReadEnd MessageReader<IsRequest>::takeEnd() {
  if (!EndsWithConnection_ || !SawEnd_ || !TrustsEnd_)
    return ReadEnd::Cut;
  ErrorCode Error;
  Parser_.put_eof(Error);
  return Error ? ReadEnd::Cut : ReadEnd::Ok;
}

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace lychee::gateway
