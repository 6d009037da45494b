#ifndef LYCHEE_STANDINS_STORE_STANDINSTORE_H
#define LYCHEE_STANDINS_STORE_STANDINSTORE_H

#include "transport/HttpMessage.h"
#include "transport/HttpServer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace lychee::standins {

/// What goes wrong with the stand-in, all at once where several are set.
struct StoreFaults {
  /// Each call takes this much longer.
  std::uint64_t SlowMilliseconds_ = 0;
  /// Each call's connection is closed without an answer, and does nothing.
  bool Down_ = false;
  /// So many further writes take effect and lose their answers.
  std::uint64_t LoseAnswers_ = 0;
  /// Watches answer at once with the value before the newest.
  bool StaleWatch_ = false;
  /// Watches never answer.
  bool SilentWatch_ = false;
  /// Hosts whose calls end as with Down_.
  std::set<std::string> Cut_;
};

/// The platform's store in memory, as docs/PLATFORM-STORE.md describes it, with
/// the faults of the real one on a control path. For tests and the demo.
class StandinStore {
public:
  StandinStore(boost::asio::any_io_executor Executor,
               transport::HttpServerOptions Options);
  StandinStore(const StandinStore &) = delete;
  StandinStore &operator=(const StandinStore &) = delete;

  bool listen(base::Error &Last) { return Server_.listen(Last); }
  std::uint16_t port() const noexcept { return Server_.port(); }

  void setFaults(StoreFaults Faults);

  /// Calls so far by kind: get, put, list, watch, refused.
  std::map<std::string, std::uint64_t> counts() const;

private:
  struct Entry {
    std::string Value_;
    std::uint64_t Version_ = 0;
    std::string Previous_;
  };

  boost::asio::awaitable<transport::HttpAnswer>
  answer(transport::HttpRequest Request);
  boost::asio::awaitable<transport::HttpAnswer>
  watch(std::string Path, std::uint64_t Known, std::uint64_t WaitMilliseconds);
  boost::asio::awaitable<void> pause(std::uint64_t Milliseconds) const;

  transport::HttpAnswer get(const std::string &Path) const;
  transport::HttpAnswer getPrevious(const std::string &Path) const;
  transport::HttpAnswer put(const std::string &Path,
                            const transport::HttpRequest &Request);
  transport::HttpAnswer list(std::string_view Prefix) const;
  transport::HttpAnswer control(const transport::HttpRequest &Request);
  transport::HttpAnswer countsAnswer() const;
  void count(const std::string &Kind);
  std::uint64_t versionOf(const std::string &Path) const;
  StoreFaults faults() const;

  const boost::asio::any_io_executor Executor_;
  mutable std::mutex Lock_;
  std::map<std::string, Entry, std::less<>> Entries_;
  StoreFaults Faults_;
  std::map<std::string, std::uint64_t> Counts_;
  transport::HttpServer Server_;
};

} // namespace lychee::standins

#endif
