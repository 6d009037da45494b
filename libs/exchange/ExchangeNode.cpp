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
constexpr int InvalidParametersCode = -32602;
constexpr const char *EmptyObject = "{}";

fleet::RpcOutcome invalidParameters() {
  return {InvalidParametersCode, "parameters are not whole"};
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
                           ExchangeDependencies Dependencies)
    : Executor_(Executor), Peers_(Peers),
      Self_(incarnationId(SelfName, Incarnation)),
      Dependencies_(std::move(Dependencies)),
      Random_(base::stableHash(Self_.name())) {
  bind(Handlers);
}

void ExchangeNode::bind(fleet::RpcDispatcher &Handlers) {
  Handlers.bind(ReportMethod,
                [this](const fleet::RpcCaller &, const std::string &Text) {
                  return handleReport(Text);
                });
  Handlers.bind(SlotsMethod,
                [this](const fleet::RpcCaller &, const std::string &Text) {
                  return handleSlotRequest(Text);
                });
  Handlers.bind(RateMethod,
                [this](const fleet::RpcCaller &, const std::string &Text) {
                  return handleRateRequest(Text);
                });
}

void ExchangeNode::spawn(Task Spawned) {
  asio::co_spawn(Executor_, std::move(Spawned),
                 [](const std::exception_ptr &Thrown) {
                   reporting::logThrown("exchange-failed", Thrown);
                 });
}

void ExchangeNode::start() {
  spawn(requestLoop());
  spawn(reportLoop());
}

// Membership.

void ExchangeNode::directoryChanged(const fleet::Directory &Changed,
                                    base::TimePoint Now) {
  std::vector<base::HostId> Incarnations;
  std::vector<steering::Member> Members;
  std::map<base::HostId, std::string> Addresses;
  for (const auto &[Id, Zone] : Changed.Zones_)
    for (const fleet::Member &Entry : Zone.Members_) {
      const base::HostId Incarnation =
          incarnationId(Entry.Host_, Entry.Incarnation_);
      Incarnations.push_back(Incarnation);
      Members.push_back({Incarnation, Entry.Region_});
      if (Incarnation != Self_)
        Addresses[Incarnation] = Entry.PeerAddress_;
    }
  {
    const std::scoped_lock Guard(Lock_);
    Addresses_.swap(Addresses);
  }
  if (std::find(Incarnations.begin(), Incarnations.end(), Self_) ==
      Incarnations.end())
    return;
  if (!Epochs_.enter(Changed.Epoch_, Incarnations))
    return;
  std::vector<base::HostId> Others = Incarnations;
  std::erase(Others, Self_);
  Offers_.setPeers(Others);
  Dependencies_.Steering_.setPeers(Others);
  Dependencies_.Steering_.enterEpoch(Changed.Epoch_, Members);
  Dependencies_.Rates_.enterEpoch(
      {Changed.Epoch_, static_cast<std::uint32_t>(Incarnations.size()),
       Dependencies_.LeaseExpiry_(Changed.Epoch_)},
      Now);
}

void ExchangeNode::updateEpoch(base::TimePoint Now) {
  const std::uint64_t Epoch = Epochs_.epoch();
  if (Epoch == 0)
    return;
  Dependencies_.Rates_.renewLease(Epoch, Dependencies_.LeaseExpiry_(Epoch),
                                  Now);
  if (Dependencies_.Steering_.conformsToEpoch())
    Epochs_.acknowledge(Self_, Epoch);
  if (SettledEpoch_ == Epoch || !Epochs_.settled())
    return;
  SettledEpoch_ = Epoch;
  Dependencies_.Rates_.settle(Epoch, Now);
  Dependencies_.Steering_.settleEpoch(Epoch);
  reporting::logLine(
      reporting::LogLevel::Info,
      base::KeyValueLine().add("event", "epoch-settled").add("epoch", Epoch));
}

// Own requests and reports.

asio::awaitable<void> ExchangeNode::requestLoop() {
  while (!Stopped_) {
    const base::TimePoint Now = SystemClock::monotonicNow();
    updateEpoch(Now);
    for (steering::SlotRequest &Request :
         Dependencies_.Steering_.slotRequests(Now))
      if (const auto Address = addressOf(Request.Donor_))
        spawn(requestSlots(*Address, std::move(Request)));
    for (const budget::ShareRequest &Request :
         Dependencies_.Rates_.dueRequests(Now))
      for (const base::HostId &Donor :
           Offers_.takeDonors(Request, Now, Random_))
        if (const auto Address = addressOf(Donor))
          spawn(requestRate(*Address, Request));
    co_await sleep(RequestInterval);
  }
}

asio::awaitable<void> ExchangeNode::reportLoop() {
  std::uint64_t LastHash = 0;
  base::TimePoint LastSentAt;
  while (!Stopped_) {
    const base::TimePoint Now = SystemClock::monotonicNow();
    const HostReport Report = makeReport(Now);
    const std::uint64_t Hash = significanceHash(Report);
    if (Hash != LastHash || Now - LastSentAt >= RepeatInterval) {
      LastHash = Hash;
      LastSentAt = Now;
      const std::string Text = ExchangeCodec::encode(Report);
      for (std::string &Address : nextReportPeers())
        spawn(sendReport(std::move(Address), Text));
    }
    co_await sleep(ReportInterval);
  }
}

HostReport ExchangeNode::makeReport(base::TimePoint Now) const {
  HostReport Report;
  Report.LoadUpdate_ = Dependencies_.Steering_.makeLoadUpdate(Now);
  Report.LoadUpdate_.Host_ = Self_;
  Report.Offers_ = Dependencies_.Rates_.offers(Now);
  Report.Evidence_ = Dependencies_.Steering_.crashSuspects().evidence(Now);
  Report.EnteredEpoch_ =
      Dependencies_.Steering_.conformsToEpoch() ? Epochs_.epoch() : 0;
  return Report;
}

std::vector<std::string> ExchangeNode::nextReportPeers() {
  const std::scoped_lock Guard(Lock_);
  std::vector<std::string> All;
  All.reserve(Addresses_.size());
  for (const auto &[Incarnation, Address] : Addresses_)
    All.push_back(Address);
  if (All.size() <= ReportFanOut)
    return All;
  std::rotate(All.begin(),
              All.begin() + static_cast<std::ptrdiff_t>(NextPeer_ % All.size()),
              All.end());
  NextPeer_ += ReportFanOut;
  All.resize(ReportFanOut);
  return All;
}

std::optional<std::string>
ExchangeNode::addressOf(const base::HostId &Incarnation) const {
  const std::scoped_lock Guard(Lock_);
  const auto Found = Addresses_.find(Incarnation);
  if (Found == Addresses_.end())
    return std::nullopt;
  return Found->second;
}

asio::awaitable<void> ExchangeNode::sendReport(std::string Address,
                                               std::string Report) {
  base::Error Ignored;
  co_await Peers_.call(std::move(Address), ReportMethod, std::move(Report),
                       CallTimeout, Ignored);
}

asio::awaitable<void>
ExchangeNode::requestSlots(std::string Address, steering::SlotRequest Request) {
  base::Error Ignored;
  const auto Answer = co_await Peers_.call(std::move(Address), SlotsMethod,
                                           ExchangeCodec::encode(Request),
                                           CallTimeout, Ignored);
  if (!Answer)
    co_return;
  const auto Grant = ExchangeCodec::decodeSlotGrant(*Answer);
  if (!Grant)
    co_return;
  std::vector<steering::Wakeup> Wakeups;
  Dependencies_.Steering_.acceptSlots(*Grant, SystemClock::monotonicNow(),
                                      Wakeups);
  if (!Wakeups.empty())
    Dependencies_.OnWakeups_(Wakeups);
}

asio::awaitable<void> ExchangeNode::requestRate(std::string Address,
                                                budget::ShareRequest Request) {
  base::Error Ignored;
  const auto Answer = co_await Peers_.call(std::move(Address), RateMethod,
                                           ExchangeCodec::encode(Request),
                                           CallTimeout, Ignored);
  if (!Answer)
    co_return;
  if (const auto Transfer = ExchangeCodec::decodeTransfer(*Answer))
    Dependencies_.Rates_.accept(*Transfer, SystemClock::monotonicNow());
}

// Calls from peers.

fleet::RpcOutcome ExchangeNode::handleReport(const std::string &Text) {
  const auto Report = ExchangeCodec::decodeReport(Text);
  if (!Report)
    return invalidParameters();
  const base::TimePoint Now = SystemClock::monotonicNow();
  Dependencies_.Steering_.receiveLoadUpdate(Report->LoadUpdate_, Now);
  Dependencies_.Steering_.crashSuspects().merge(Report->Evidence_, Now);
  Offers_.update(Report->LoadUpdate_.Host_, Report->Offers_, Now);
  Epochs_.acknowledge(Report->LoadUpdate_.Host_, Report->EnteredEpoch_);
  return {0, EmptyObject};
}

fleet::RpcOutcome ExchangeNode::handleSlotRequest(const std::string &Text) {
  const auto Request = ExchangeCodec::decodeSlotRequest(Text);
  if (!Request)
    return invalidParameters();
  const auto Grant =
      Dependencies_.Steering_.grantSlots(*Request, SystemClock::monotonicNow());
  return {0, Grant ? ExchangeCodec::encode(*Grant) : EmptyObject};
}

fleet::RpcOutcome ExchangeNode::handleRateRequest(const std::string &Text) {
  const auto Request = ExchangeCodec::decodeShareRequest(Text);
  if (!Request)
    return invalidParameters();
  const auto Transfer =
      Dependencies_.Rates_.donate(*Request, SystemClock::monotonicNow());
  return {0, Transfer ? ExchangeCodec::encode(*Transfer) : EmptyObject};
}

} // namespace lychee::exchange
