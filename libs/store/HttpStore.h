#ifndef LYCHEE_STORE_HTTPSTORE_H
#define LYCHEE_STORE_HTTPSTORE_H

#include "store/Store.h"
#include "transport/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <string>

namespace lychee::store {

/// Where the store is and how long a call to it may take.
struct HttpStoreOptions {
  std::string Address_;
  std::uint16_t Port_ = 0;
  /// Name of the calling host; stands in each call, for the platform's logs.
  std::string Host_;
  /// Bound on each call; a watch may take its wait longer.
  base::Duration Timeout_ = std::chrono::seconds(2);
  transport::TrafficCounter *Traffic_ = nullptr;
};

/// The adapter that knows the platform's protocol, as docs/PLATFORM-STORE.md
/// describes it: another platform means another file like this one. Each call
/// is made once; who calls decides about a second try. \see GuardedStore
class HttpStore final : public Store {
public:
  HttpStore(const boost::asio::any_io_executor &Executor,
            const HttpStoreOptions &Options);

  boost::asio::awaitable<std::optional<Object>> get(std::string_view Path,
                                                    base::Error &Last) override;

  boost::asio::awaitable<PutResult> put(std::string_view Path,
                                        std::string_view Value,
                                        std::uint64_t Expected,
                                        base::Error &Last) override;

  boost::asio::awaitable<std::optional<std::vector<Object>>>
  list(std::string_view Prefix, base::Error &Last) override;

  boost::asio::awaitable<std::optional<Object>>
  watch(std::string_view Path, std::uint64_t Known, base::Duration Wait,
        base::Error &Last) override;

private:
  boost::asio::awaitable<std::optional<Object>>
  read(std::string Path, std::string Query, base::Duration Timeout,
       std::string_view Step, base::Error &Last);

  boost::asio::awaitable<std::optional<transport::HttpAnswer>>
  send(transport::HttpRequest Request, base::Duration Timeout,
       std::string_view Step, bool &Sent, base::Error &Last);

  const HttpStoreOptions Options_;
  transport::HttpClient Client_;
};

} // namespace lychee::store

#endif
