#ifndef LYCHEE_TESTS_SUPPORT_IOTHREADS_H
#define LYCHEE_TESTS_SUPPORT_IOTHREADS_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

namespace lychee::tests {

/// An io_context on two threads, and calls that wait for a coroutine's end.
class IoThreads {
public:
  IoThreads() : Guard_(boost::asio::make_work_guard(Context_)) {
    for (int Index = 0; Index < 2; ++Index)
      Threads_.emplace_back([this] { Context_.run(); });
  }
  IoThreads(const IoThreads &) = delete;
  IoThreads &operator=(const IoThreads &) = delete;
  ~IoThreads() { stop(); }

  boost::asio::any_io_executor executor() { return Context_.get_executor(); }

  boost::asio::io_context &context() noexcept { return Context_; }

  template <typename Result>
  Result run(boost::asio::awaitable<Result> Operation) {
    return boost::asio::co_spawn(Context_, std::move(Operation),
                                 boost::asio::use_future)
        .get();
  }

  /// Ends the threads; what they ran into may be destroyed after this.
  void stop() {
    Context_.stop();
    for (std::thread &Each : Threads_)
      if (Each.joinable())
        Each.join();
  }

private:
  boost::asio::io_context Context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;
  std::vector<std::thread> Threads_;
};

/// Waits until \p State holds, looking again each millisecond.
/// \returns false where it does not within \p Patience, which only bounds how
/// long a failing test takes.
template <typename Predicate>
bool waitFor(Predicate State,
             std::chrono::seconds Patience = std::chrono::seconds(20)) {
  const auto End = std::chrono::steady_clock::now() + Patience;
  while (!State()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

} // namespace lychee::tests

#endif
