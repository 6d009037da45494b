#include "gateway/RawClient.h"

#include "gateway/Fakes.h"

#include <arpa/inet.h>
#include <cctype>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace lychee::tests {

RawClient::RawClient(const std::string &Address, int ReceiveBytes) {
  const std::size_t Colon = Address.rfind(':');
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Where.sin_addr);
  Handle_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBytes > 0)
    setsockopt(Handle_, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof(ReceiveBytes));
  const timeval GiveUp{10, 0};
  setsockopt(Handle_, SOL_SOCKET, SO_RCVTIMEO, &GiveUp, sizeof(GiveUp));
  setsockopt(Handle_, SOL_SOCKET, SO_SNDTIMEO, &GiveUp, sizeof(GiveUp));
  if (connect(Handle_, reinterpret_cast<const sockaddr *>(&Where),
              sizeof(Where)) != 0)
    close();
}

RawClient::~RawClient() { close(); }

void RawClient::close() {
  if (Handle_ >= 0)
    ::close(Handle_);
  Handle_ = -1;
}

bool RawClient::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const auto Sent = ::send(Handle_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool RawClient::readMore() {
  char Piece[65536];
  const auto Count = recv(Handle_, Piece, sizeof(Piece), 0);
  if (Count <= 0)
    return false;
  Buffer_.append(Piece, static_cast<std::size_t>(Count));
  return true;
}

bool RawClient::isEnded() {
  while (readMore()) {
  }
  return errno != EAGAIN && errno != EWOULDBLOCK;
}

RawAnswer RawClient::readAnswer(bool WithoutBody) {
  RawAnswer Read;
  std::size_t End = 0;
  while ((End = Buffer_.find("\r\n\r\n")) == std::string::npos)
    if (!readMore())
      return Read;
  const std::string Head = Buffer_.substr(0, End + 2);
  Buffer_.erase(0, End + 4);
  Read.Status_ = std::stoi(Head.substr(9, 3));
  for (std::size_t At = Head.find("\r\n") + 2; At < Head.size();) {
    const std::size_t LineEnd = Head.find("\r\n", At);
    const std::string Line = Head.substr(At, LineEnd - At);
    std::string Name = Line.substr(0, Line.find(':'));
    for (char &Character : Name)
      Character = static_cast<char>(std::tolower(Character));
    Read.Headers_[Name] = Line.substr(Line.find(':') + 2);
    At = LineEnd + 2;
  }
  Read.Whole_ = true;
  if (WithoutBody || Read.Status_ < 200)
    return Read;
  const std::size_t Length = Read.header("content-length").empty()
                                 ? 0
                                 : std::stoul(Read.header("content-length"));
  while (Buffer_.size() < Length && Read.Whole_)
    Read.Whole_ = readMore();
  Read.Body_ = Buffer_.substr(0, Length);
  Buffer_.erase(0, Read.Body_.size());
  return Read;
}

RawAnswer RawClient::request(std::string_view Method, std::string_view Path,
                             std::string_view Headers, std::string_view Body) {
  send(requestText(Method, Path, Headers, Body));
  return readAnswer(Method == "HEAD");
}

std::string requestText(std::string_view Method, std::string_view Path,
                        std::string_view Headers, std::string_view Body) {
  std::string Text(Method);
  Text += ' ';
  Text += Path;
  Text += " HTTP/1.1\r\nHost: service.example\r\nAuthorization: Bearer ";
  Text += GoodKey;
  Text += "\r\n";
  Text += Headers;
  if (!Body.empty())
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n";
  Text += Body;
  return Text;
}

} // namespace lychee::tests
