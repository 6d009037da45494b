#include "gateway/Fixture.h"
#include "gateway/RawTarget.h"

#include <atomic>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using tests::RawTarget;

namespace {

constexpr const char *Interim = "HTTP/1.1 100 Continue\r\n\r\n";

/// An answer that is whole with its last byte, and not before.
struct Answer {
  const char *Name_;
  const char *Method_;
  std::string Text_;
};

std::string headWith(const std::string &Status, const std::string &Framing) {
  return "HTTP/1.1 " + Status + "\r\nX-Name: r1\r\nX-Seal: 3e1b.07\r\n" +
         Framing + "\r\n";
}

std::vector<Answer> answers() {
  return {{"with a length", "GET",
           headWith("200 OK", "Content-Length: 5\r\n") + "whole"},
          {"with no body", "GET", headWith("200 OK", "Content-Length: 0\r\n")},
          {"in chunks", "GET",
           headWith("200 OK", "Transfer-Encoding: chunked\r\n") +
               "3\r\nwho\r\n2\r\nle\r\n0\r\nX-More: a\r\n\r\n"},
          {"up to the connection's end", "GET",
           headWith("200 OK", "Connection: close\r\n")},
          {"204", "GET", headWith("204 No Content", "")},
          {"to HEAD", "HEAD", headWith("200 OK", "Content-Length: 5\r\n")},
          {"behind an interim one", "GET",
           Interim + headWith("200 OK", "Content-Length: 5\r\n") + "whole"},
          {"to HEAD behind an interim one", "HEAD",
           Interim + headWith("200 OK", "Transfer-Encoding: chunked\r\n")}};
}

} // namespace

/// A target, or another host, whose answer breaks off at any place.
TEST_GROUP(BrokenAnswer) {
  std::unique_ptr<RawTarget> Peer_;
  std::unique_ptr<Fixture> Fixture_;
  std::string Text_;
  std::atomic<std::size_t> Sent_ = 0;
  std::atomic<bool> Resets_ = false;
  /// Requests on a connection that are answered whole before.
  std::atomic<int> WholeBefore_ = 0;

  void serveOne(RawTarget::Socket & Peer) const {
    for (int Before = WholeBefore_; Before > 0; --Before) {
      if (RawTarget::readHead(Peer).empty())
        return;
      RawTarget::send(Peer,
                      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbefore");
    }
    if (RawTarget::readHead(Peer).empty())
      return;
    RawTarget::send(Peer, Text_.substr(0, Sent_));
    if (Resets_)
      Peer.set_option(boost::asio::socket_base::linger(true, 0));
  }
  /// \param IsHost  the peer is another host and not a target.
  void start(bool IsHost) {
    Peer_ = std::make_unique<RawTarget>(
        [this](RawTarget::Socket &Peer) { serveOne(Peer); });
    Fixture_ = std::make_unique<Fixture>(0);
    Fixture_->Settings_.Threads_ = 1;
    Fixture_->Settings_.Host_ = lychee::base::HostId("edge-1");
    Fixture_->Steering_ = std::make_unique<tests::FakeSteering>(
        std::vector<std::string>{Peer_->address()});
    Fixture_->Steering_->MaximumSends_ = 1;
    if (IsHost)
      Fixture_->Steering_->HostAddress_ = Peer_->address();
    Fixture_->start();
  }
  void teardown() override {
    Fixture_.reset();
    Peer_.reset();
  }

  /// \returns the answer to the last of the requests on one connection.
  RawAnswer ask(const char *Method) const {
    RawClient Caller(Fixture_->address());
    for (int Before = WholeBefore_; Before > 0; --Before)
      LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
    return Caller.request(Method, "/s/x");
  }
  /// Checks that no part of the answer, and only the whole, is a success.
  void checkEachPlace(const Answer &Broken) {
    Text_ = Broken.Text_;
    for (std::size_t Place = 0; Place <= Text_.size(); ++Place) {
      Sent_ = Place;
      const bool IsWhole = Place == Text_.size();
      if (IsWhole && Resets_)
        continue;
      const RawAnswer Read = ask(Broken.Method_);
      const bool IsSuccess =
          Read.Status_ >= 200 && Read.Status_ < 300 && Read.Whole_;
      CHECK_EQUAL_TEXT(IsWhole, IsSuccess, Broken.Name_);
    }
  }
  void checkAll(bool IsHost) {
    start(IsHost);
    for (const bool Reset : {false, true}) {
      Resets_ = Reset;
      for (const Answer &Each : answers())
        checkEachPlace(Each);
    }
  }
};

// Guards against a part of a head that is taken for a whole answer.
TEST(BrokenAnswer, noPartOfATargetsAnswerIsASuccess) { checkAll(false); }

TEST(BrokenAnswer, noPartOfAnotherHostsAnswerIsASuccess) { checkAll(true); }

TEST(BrokenAnswer, noPartOfTheSecondAnswerOnAConnectionIsASuccess) {
  WholeBefore_ = 1;
  checkAll(false);
}
