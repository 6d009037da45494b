// Stand-in of a client, by PROTOCOL.md ("Requests", "Answers").
#ifndef REVIEW_STANDIN_CLIENT_H
#define REVIEW_STANDIN_CLIENT_H

#include "Net.h"

#include <memory>

namespace review {

struct ClientRequest {
  std::string Method_ = "GET";
  std::string Path_ = "/safe/1";
  std::string Id_;
  int DeadlineMs_ = 10000;
  std::string Key_ = "xd9dnn2ctnfzs989anu6";
  std::string Body_;
  bool Chunked_ = false;
  /// Sends the body in pieces of so many bytes, each that long after the last;
  /// 0: at once.
  std::size_t PieceBytes_ = 0;
  int PieceMs_ = 0;
};

struct ClientAnswer {
  /// 0: the connection ended without a whole answer.
  int Status_ = 0;
  std::string Body_;
  std::string Seal_;
  Head Head_;
};

inline std::string chunkOf(std::string_view Piece) {
  char Size[32];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Piece.size());
  return Size + std::string(Piece) + "\r\n";
}

/// One client with a connection that it keeps. Of one thread.
class Client {
public:
  explicit Client(Address To) : To_(std::move(To)) {}

  ClientAnswer ask(const ClientRequest &Asked) {
    ClientAnswer Read;
    if (!Kept_) {
      const int Handle = connectTo(To_, 1000);
      if (Handle < 0)
        return Read;
      Kept_ = std::make_unique<Connection>(Handle);
    }
    Connection &Peer = *Kept_;
    Peer.setTimeout(Asked.DeadlineMs_ + 1000);
    std::string Text =
        Asked.Method_ + " " + Asked.Path_ +
        " HTTP/1.1\r\nHost: ficu95.example\r\nX-Lycheespoke-Request-Id: " +
        Asked.Id_ +
        "\r\nX-Lycheespoke-Deadline-Ms: " + std::to_string(Asked.DeadlineMs_) +
        "\r\nAuthorization: Bearer " + Asked.Key_ + "\r\n";
    if (Asked.Chunked_)
      Text += "Transfer-Encoding: chunked\r\n";
    else if (!Asked.Body_.empty())
      Text += "Content-Length: " + std::to_string(Asked.Body_.size()) + "\r\n";
    Text += "\r\n";
    if (!Peer.write(Text) || !writeBody(Peer, Asked)) {
      // A refusal may have come before the body was out.
    }
    if (!Peer.readHead(Read.Head_) || !Peer.readBody(Read.Head_, Read.Body_)) {
      Kept_.reset();
      return Read;
    }
    Read.Status_ = Read.Head_.status();
    Read.Seal_ = Read.Head_.get("X-Lycheespoke-Response-Seal");
    if (Read.Head_.get("Connection") == "close")
      Kept_.reset();
    return Read;
  }

private:
  static bool writeBody(const Connection &Peer, const ClientRequest &Asked) {
    const std::size_t Most = Asked.PieceBytes_ > 0
                                 ? Asked.PieceBytes_
                                 : std::max<std::size_t>(1, Asked.Body_.size());
    for (std::size_t At = 0; At < Asked.Body_.size(); At += Most) {
      const auto Piece = std::string_view(Asked.Body_).substr(At, Most);
      if (!(Asked.Chunked_ ? Peer.write(chunkOf(Piece)) : Peer.write(Piece)))
        return false;
      if (Asked.PieceMs_ > 0)
        sleepMs(Asked.PieceMs_);
    }
    return !Asked.Chunked_ || Peer.write("0\r\n\r\n");
  }

  const Address To_;
  std::unique_ptr<Connection> Kept_;
};

/// Bytes that differ at each place and for each seed.
inline std::string patternOf(std::uint64_t Seed, std::size_t Bytes) {
  std::string Made(Bytes, '\0');
  for (std::size_t At = 0; At < Bytes; At += 8) {
    std::uint64_t Mixed = Seed * 0x9e3779b97f4a7c15ULL + At + 1;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
    Mixed ^= Mixed >> 31;
    std::memcpy(Made.data() + At, &Mixed, std::min<std::size_t>(8, Bytes - At));
  }
  return Made;
}

} // namespace review

#endif
