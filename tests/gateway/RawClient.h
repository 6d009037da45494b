#ifndef LYCHEE_TESTS_GATEWAY_RAWCLIENT_H
#define LYCHEE_TESTS_GATEWAY_RAWCLIENT_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lychee::tests {

/// An answer as it came off the wire.
struct RawAnswer {
  /// 0 where none came.
  int Status_ = 0;
  /// Names in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;
  /// The body has the length that its head tells.
  bool Whole_ = false;

  std::string header(const std::string &Name) const {
    const auto Found = Headers_.find(Name);
    return Found == Headers_.end() ? std::string() : Found->second;
  }
};

/// A caller on a blocking socket that sends exactly the bytes it is given.
/// Reads give up after ten seconds, so that a test fails and does not hang.
class RawClient {
public:
  /// \param ReceiveBytes  size of the kernel's buffer for what is received;
  /// 0: the usual one.
  explicit RawClient(const std::string &Address, int ReceiveBytes = 0);
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;
  ~RawClient();

  bool isOpen() const noexcept { return Handle_ >= 0; }
  /// \returns whether all bytes went out.
  bool send(std::string_view Bytes);
  void close();

  RawAnswer readAnswer(bool WithoutBody = false);
  /// Sends one request and reads its answer.
  RawAnswer request(std::string_view Method, std::string_view Path,
                    std::string_view Headers = {}, std::string_view Body = {});

  /// \returns whether the peer has ended the connection, waiting for it.
  bool isEnded();

private:
  bool readMore();

  int Handle_ = -1;
  std::string Buffer_;
};

/// \returns a request with the good key.
std::string requestText(std::string_view Method, std::string_view Path,
                        std::string_view Headers = {},
                        std::string_view Body = {});

} // namespace lychee::tests

#endif
