#include "exchange/ExchangeNode.h"

#include "base/Hash.h"
#include "base/SystemClock.h"
#include "exchange/ExchangeCodec.h"
#include "reporting/Log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

namespace lychee::exchange {

namespace asio = boost::asio;
using base::SystemClock;

namespace {

constexpr const char *ReportMethod = "exchange.report";
constexpr const char *SlotsMethod = "exchange.slots";
constexpr const char *RateMethod = "exchange.rate";
constexpr int MalformedCode = -32602;
constexpr const char *Nothing = "{}";

fleet::RpcOutcome malformed() {
  return {MalformedCode, "parameters are not whole"};
}

asio::awaitable<void> sleep(base::Duration Span) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Span);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

base::HostId ExchangeNode::incarnationId(const base::HostId &Name,
                                         std::uint64_t Incarnation) {
  return base::HostId(Name.name() + "#" + std::to_string(Incarnation));
}

ExchangeNode::ExchangeNode(const asio::any_io_executor &Executor,
                           fleet::PeerClient &Peers,
                           fleet::RpcDispatcher &Handlers,
                           const base::HostId &SelfName,
                           std::uint64_t Incarnation,
                           ExchangeDependencies Parts)
    : Executor_(Executor), Peers_(Peers),
      Self_(incarnationId(SelfName, Incarnation)), Parts_(std::move(Parts)),
      Random_(base::stableHash(Self_.name())) {
  bind(Handlers);
}

void ExchangeNode::bind(fleet::RpcDispatcher &Handlers) {
  Handlers.bind(ReportMethod,
                [this](const fleet::RpcCaller &, const std::string &Text) {
                  return hearReport(Text);
                });
  Handlers.bind(SlotsMethod,
                [this](const fleet::RpcCaller &, const std::string &Text) {
                  return hearSlotAsk(Text);
                });
  Handlers.bind(RateMethod,
                [this](const fleet::RpcCaller &, const std::string &Text) {
                  return hearAsk(Text);
                });
}

void ExchangeNode::spawn(Task Started) {
  asio::co_spawn(Executor_, std::move(Started),
                 [](const std::exception_ptr &Thrown) {
                   reporting::logThrown("exchange-failed", Thrown);
                 });
}

void ExchangeNode::start() {
  spawn(askLoop());
  spawn(reportLoop());
}

// Membership.

void ExchangeNode::directoryChanged(const fleet::Directory &Changed,
                                    base::TimePoint Now) {
  std::vector<base::HostId> Processes;
  std::vector<steering::Member> Members;
  std::map<base::HostId, std::string> Addresses;
  for (const auto &[Id, Zone] : Changed.Zones_)
    for (const fleet::Member &Each : Zone.Members_) {
      const base::HostId Process = incarnationId(Each.Host_, Each.Incarnation_);
      Processes.push_back(Process);
      Members.push_back({Process, Each.Region_});
      if (Process != Self_)
        Addresses[Process] = Each.PeerAddress_;
    }
  {
    const std::scoped_lock Guard(Lock_);
    Addresses_.swap(Addresses);
  }
  if (std::find(Processes.begin(), Processes.end(), Self_) == Processes.end())
    return;
  if (!Epochs_.enter(Changed.Epoch_, Processes))
    return;
  std::vector<base::HostId> Others = Processes;
  std::erase(Others, Self_);
  Offers_.setPeers(Others);
  Parts_.Steering_.setPeers(Others);
  Parts_.Steering_.enterEpoch(Changed.Epoch_, Members);
  Parts_.Rates_.enterEpoch({Changed.Epoch_,
                            static_cast<std::uint32_t>(Processes.size()),
                            Parts_.LeaseExpiry_(Changed.Epoch_)},
                           Now);
}

void ExchangeNode::followEpoch(base::TimePoint Now) {
  const std::uint64_t Epoch = Epochs_.epoch();
  if (Epoch == 0)
    return;
  Parts_.Rates_.renewLease(Epoch, Parts_.LeaseExpiry_(Epoch), Now);
  if (Parts_.Steering_.conformsToEpoch())
    Epochs_.entered(Self_, Epoch);
  if (Settled_ == Epoch || !Epochs_.settled())
    return;
  Settled_ = Epoch;
  Parts_.Rates_.settle(Epoch, Now);
  Parts_.Steering_.settleEpoch(Epoch);
  reporting::logLine(
      reporting::LogLevel::Info,
      base::KeyValueLine().add("event", "epoch-settled").add("epoch", Epoch));
}

// Own asks and reports.

asio::awaitable<void> ExchangeNode::askLoop() {
  while (!Stopped_) {
    const base::TimePoint Now = SystemClock::monotonicNow();
    followEpoch(Now);
    for (steering::SlotRequest &Each : Parts_.Steering_.slotRequests(Now))
      if (const auto Address = addressOf(Each.Donor_))
        spawn(askSlots(*Address, std::move(Each)));
    for (const budget::ShareRequest &Each : Parts_.Rates_.dueRequests(Now))
      for (const base::HostId &Donor : Offers_.takeDonors(Each, Now, Random_))
        if (const auto Address = addressOf(Donor))
          spawn(askRate(*Address, Each));
    co_await sleep(AskInterval);
  }
}

asio::awaitable<void> ExchangeNode::reportLoop() {
  std::uint64_t LastTold = 0;
  base::TimePoint LastAt;
  while (!Stopped_) {
    const base::TimePoint Now = SystemClock::monotonicNow();
    const HostReport Report = report(Now);
    const std::uint64_t Significance = significanceOf(Report);
    if (Significance != LastTold || Now - LastAt >= RepeatInterval) {
      LastTold = Significance;
      LastAt = Now;
      const std::string Text = ExchangeCodec::encode(Report);
      for (std::string &Address : nextPeers())
        spawn(tell(std::move(Address), Text));
    }
    co_await sleep(ReportInterval);
  }
}

HostReport ExchangeNode::report(base::TimePoint Now) const {
  HostReport Report;
  Report.Round_ = Parts_.Steering_.makeLoadUpdate(Now);
  Report.Round_.Host_ = Self_;
  Report.Offers_ = Parts_.Rates_.offers(Now);
  Report.Evidence_ = Parts_.Steering_.crashSuspects().evidence(Now);
  Report.Entered_ = Parts_.Steering_.conformsToEpoch() ? Epochs_.epoch() : 0;
  return Report;
}

std::vector<std::string> ExchangeNode::nextPeers() {
  const std::scoped_lock Guard(Lock_);
  std::vector<std::string> All;
  All.reserve(Addresses_.size());
  for (const auto &[Process, Address] : Addresses_)
    All.push_back(Address);
  if (All.size() <= FanOut)
    return All;
  std::rotate(All.begin(),
              All.begin() + static_cast<std::ptrdiff_t>(NextPeer_ % All.size()),
              All.end());
  NextPeer_ += FanOut;
  All.resize(FanOut);
  return All;
}

std::optional<std::string>
ExchangeNode::addressOf(const base::HostId &Process) const {
  const std::scoped_lock Guard(Lock_);
  const auto Found = Addresses_.find(Process);
  if (Found == Addresses_.end())
    return std::nullopt;
  return Found->second;
}

asio::awaitable<void> ExchangeNode::tell(std::string Address,
                                         std::string Report) {
  base::Error Ignored;
  co_await Peers_.call(std::move(Address), ReportMethod, std::move(Report),
                       CallTimeout, Ignored);
}

asio::awaitable<void> ExchangeNode::askSlots(std::string Address,
                                             steering::SlotRequest Asked) {
  base::Error Ignored;
  const auto Answer =
      co_await Peers_.call(std::move(Address), SlotsMethod,
                           ExchangeCodec::encode(Asked), CallTimeout, Ignored);
  if (!Answer)
    co_return;
  const auto Gift = ExchangeCodec::decodeSlotGift(*Answer);
  if (!Gift)
    co_return;
  std::vector<steering::Wakeup> Woken;
  Parts_.Steering_.acceptSlots(*Gift, SystemClock::monotonicNow(), Woken);
  if (!Woken.empty())
    Parts_.OnWakeups_(Woken);
}

asio::awaitable<void> ExchangeNode::askRate(std::string Address,
                                            budget::ShareRequest Asked) {
  base::Error Ignored;
  const auto Answer =
      co_await Peers_.call(std::move(Address), RateMethod,
                           ExchangeCodec::encode(Asked), CallTimeout, Ignored);
  if (!Answer)
    co_return;
  if (const auto Given = ExchangeCodec::decodeTransfer(*Answer))
    Parts_.Rates_.accept(*Given, SystemClock::monotonicNow());
}

// Peers' calls.

fleet::RpcOutcome ExchangeNode::hearReport(const std::string &Text) {
  const auto Report = ExchangeCodec::decodeReport(Text);
  if (!Report)
    return malformed();
  const base::TimePoint Now = SystemClock::monotonicNow();
  Parts_.Steering_.receiveLoadUpdate(Report->Round_, Now);
  Parts_.Steering_.crashSuspects().merge(Report->Evidence_, Now);
  Offers_.update(Report->Round_.Host_, Report->Offers_, Now);
  Epochs_.entered(Report->Round_.Host_, Report->Entered_);
  return {0, Nothing};
}

fleet::RpcOutcome ExchangeNode::hearSlotAsk(const std::string &Text) {
  const auto Asked = ExchangeCodec::decodeSlotAsk(Text);
  if (!Asked)
    return malformed();
  const auto Gift =
      Parts_.Steering_.grantSlots(*Asked, SystemClock::monotonicNow());
  return {0, Gift ? ExchangeCodec::encode(*Gift) : Nothing};
}

fleet::RpcOutcome ExchangeNode::hearAsk(const std::string &Text) {
  const auto Asked = ExchangeCodec::decodeAsk(Text);
  if (!Asked)
    return malformed();
  const auto Given = Parts_.Rates_.donate(*Asked, SystemClock::monotonicNow());
  return {0, Given ? ExchangeCodec::encode(*Given) : Nothing};
}

} // namespace lychee::exchange
