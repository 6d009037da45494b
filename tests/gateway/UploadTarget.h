#ifndef LYCHEE_TESTS_GATEWAY_UPLOADTARGET_H
#define LYCHEE_TESTS_GATEWAY_UPLOADTARGET_H

#include "gateway/RawTarget.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace lychee::tests {

/// A request as it came off the wire.
struct Upload {
  std::string Body_;
  /// The body has come to its end.
  bool Whole_ = false;
  /// What came is no part of a request.
  bool Malformed_ = false;
};

/// A target that keeps the bodies that it gets.
class UploadTarget {
public:
  struct Behaviour {
    std::string Answer_;
    /// Answers when it has the head; otherwise when it has the whole body.
    bool Early_ = false;
    /// How long it reads nothing after an early answer.
    std::chrono::milliseconds Pause_{};
    enum class Then { ReadOn, ReadNothing, Close, Reset };
    /// What it does after that pause.
    Then Then_ = Then::ReadOn;
  };

  explicit UploadTarget(Behaviour How);
  ~UploadTarget();
  UploadTarget(const UploadTarget &) = delete;
  UploadTarget &operator=(const UploadTarget &) = delete;

  std::string address() const { return Server_.address(); }
  /// \returns the requests whose bodies came to an end, or whose connections
  /// did.
  std::vector<Upload> uploads() const;

private:
  void serve(RawTarget::Socket &From);

  const Behaviour How_;
  mutable std::mutex Lock_;
  std::vector<Upload> Uploads_;
  std::atomic<bool> Over_ = false;
  RawTarget Server_;
};

/// \returns an answer without a body.
std::string emptyAnswer(const std::string &Status,
                        const std::string &Headers = {});

} // namespace lychee::tests

#endif
