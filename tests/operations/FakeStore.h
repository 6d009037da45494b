#ifndef LYCHEE_TESTS_OPERATIONS_FAKESTORE_H
#define LYCHEE_TESTS_OPERATIONS_FAKESTORE_H

#include "operations/FleetView.h"
#include "store/Store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace lychee::tests {

/// The platform's object service in memory, with the faults of the brief.
class FakeStore final : public store::Store {
public:
  using Path = std::string_view;
  template <typename T> using Awaited = boost::asio::awaitable<T>;

  Awaited<std::optional<store::Object>> get(Path Asked,
                                            base::Error &Last) override {
    if (Down_) {
      Last = {"store.get", "store", "down"};
      co_return std::nullopt;
    }
    if (GetsLeft_ && (*GetsLeft_)-- == 0) {
      GetsLeft_ = 0;
      Last = {"store.get", "store", "over the budget of calls"};
      co_return std::nullopt;
    }
    const auto Entry = Objects_.find(std::string(Asked));
    if (Entry == Objects_.end())
      co_return store::Object{std::string(Asked), "", 0};
    co_return Entry->second;
  }

  Awaited<store::PutResult> put(Path Asked, std::string_view Value,
                                std::uint64_t Expected,
                                base::Error &Last) override {
    const std::string Name(Asked);
    if (BeforePut_)
      std::exchange(BeforePut_, nullptr)(Name);
    ++Puts_;
    if (Down_) {
      Last = {"store.put", "store", "down"};
      co_return store::PutResult{store::PutStatus::Failed, 0};
    }
    if (Name == LoseRequestTo_ && LostRequests_ > 0) {
      --LostRequests_;
      Last = {"store.put", "store", "no answer"};
      co_return store::PutResult{store::PutStatus::Unknown, 0};
    }
    store::Object &Object = Objects_[Name];
    if (Object.Version_ != Expected)
      co_return store::PutResult{store::PutStatus::Conflict, Object.Version_};
    Object = {Name, std::string(Value), Expected + 1};
    if (Name == LoseAnswerOf_ && LostAnswers_ > 0) {
      --LostAnswers_;
      Down_ = DownAfterLostAnswer_;
      Last = {"store.put", "store", "no answer"};
      co_return store::PutResult{store::PutStatus::Unknown, 0};
    }
    co_return store::PutResult{store::PutStatus::Written, Expected + 1};
  }

  Awaited<std::optional<std::vector<store::Object>>>
  list(Path Prefix, base::Error &Last) override {
    if (Down_) {
      Last = {"store.list", "store", "down"};
      co_return std::nullopt;
    }
    if (FailingLists_ > 0) {
      --FailingLists_;
      Last = {"store.list", "store", "over the budget of calls"};
      co_return std::nullopt;
    }
    std::vector<store::Object> Listed;
    for (const auto &[Name, Object] : Objects_)
      if (Name.starts_with(Prefix))
        Listed.push_back({Name, "", Object.Version_});
    co_return Listed;
  }

  Awaited<std::optional<store::Object>>
  watch(Path Asked, std::uint64_t, base::Duration, base::Error &Last) override {
    co_return co_await get(Asked, Last);
  }

  /// \returns every value, for looking through what the store got to see.
  std::string everything() const {
    std::string Text;
    for (const auto &[Name, Object] : Objects_)
      Text += Name + "\n" + Object.Value_ + "\n";
    return Text;
  }

  std::map<std::string, store::Object> Objects_;
  /// Called once, before the next put.
  std::function<void(const std::string &)> BeforePut_;
  bool Down_ = false;
  /// Writes to this path take effect and their answers are lost.
  std::string LoseAnswerOf_;
  int LostAnswers_ = 0;
  bool DownAfterLostAnswer_ = false;
  /// Writes to this path are lost before they take effect.
  std::string LoseRequestTo_;
  int LostRequests_ = 0;
  int Puts_ = 0;
  /// Lists that fail before the next that does not.
  int FailingLists_ = 0;
  /// Reads that are answered; nothing for all.
  std::optional<int> GetsLeft_;
};

/// A host whose settings in force are set by the test.
class FakeFleet final : public operations::FleetView {
public:
  std::shared_ptr<const settings::Intent> intent() const override {
    return Intent_;
  }
  operations::HostStatus status(base::TimePoint) const override {
    operations::HostStatus Status;
    Status.Host_ = base::HostId("edge-1");
    Status.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
    return Status;
  }
  std::vector<operations::MemberStatus> members() const override {
    return {{base::HostId("edge-1"), base::ZoneId("n-1"), Address_}};
  }
  std::vector<std::string>
  explain(const base::RequestId &Request) const override {
    if (Request.name() == "r1")
      return {"event=send request=r1"};
    return {};
  }

  std::shared_ptr<const settings::Intent> Intent_;
  std::string Address_ = "127.0.0.1:1";
};

/// \returns the result of a coroutine that waits for nothing but itself.
template <typename Result>
Result resultOf(boost::asio::awaitable<Result> Task) {
  boost::asio::io_context Context;
  std::optional<Result> Kept;
  boost::asio::co_spawn(
      Context,
      [&Kept, &Task]() -> boost::asio::awaitable<void> {
        Kept = co_await std::move(Task);
      },
      boost::asio::detached);
  Context.run();
  return std::move(Kept).value_or(Result());
}

} // namespace lychee::tests

#endif
