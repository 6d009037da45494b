#include "admission/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace lychee::admission {

CustomerIndex FairQueue::enrol(const base::CustomerId &Customer,
                               std::uint32_t Weight) {
  const auto [QueuePosition, Fresh] = IndexOf_.try_emplace(
      Customer, static_cast<CustomerIndex>(Customers_.size()));
  if (Fresh) {
    Customers_.emplace_back();
    CustomerEntries_.emplace_back();
  }
  CustomerEntries_[QueuePosition->second].Weight_ = std::max(1U, Weight);
  return QueuePosition->second;
}

QueuePosition FairQueue::push(const QueuedRequest &Request) {
  assert(Request.Customer_ < Customers_.size() && "enrol the customer first");
  const std::uint32_t FlowIndex = flowOf(Request.Customer_, Request.Caller_);
  CustomerLine &Owner = Customers_[Request.Customer_];
  Flow &Line = Flows_[FlowIndex];
  if (Owner.Size_ == 0) {
    Ring_.join(CustomerEntries_, Request.Customer_);
  }
  if (Line.First_ == None)
    Owner.Callers_.join(FlowEntries_, FlowIndex);
  const std::uint32_t Index = takeNode(Request, FlowIndex);
  Line.Work_ += Request.Work_;
  Owner.Work_ += Request.Work_;
  ++Owner.Size_;
  ++Size_;
  return {Index, Nodes_[Index].Generation_};
}

std::optional<QueuedRequest>
FairQueue::pop(const std::function<bool(CustomerIndex)> &NewestFirst) {
  if (Size_ == 0)
    return std::nullopt;
  const CustomerIndex Chosen = Ring_.turn(CustomerEntries_, false);
  CustomerLine &Owner = Customers_[Chosen];
  const bool Newest = NewestFirst(Chosen);
  const std::uint32_t FlowIndex = Owner.Callers_.turn(FlowEntries_, Newest);
  const Flow &Line = Flows_[FlowIndex];
  const std::uint32_t NodeIndex = Newest ? Line.Last_ : Line.First_;
  const QueuedRequest Request = Nodes_[NodeIndex].Request_;
  Ring_.charge(CustomerEntries_[Chosen], Request.Work_);
  Owner.Callers_.charge(FlowEntries_[FlowIndex], Request.Work_);
  unlink(NodeIndex);
  if (Owner.Size_ > 0)
    Ring_.rotate(CustomerEntries_, Chosen);
  return Request;
}

void FairQueue::settle(CustomerIndex Customer, std::uint64_t Caller,
                       base::Duration Expected, base::Duration Took) noexcept {
  const base::Duration Difference = Took - Expected;
  Ring_.charge(CustomerEntries_[Customer], Difference);
  CustomerLine &Owner = Customers_[Customer];
  const auto Known = Owner.FlowOf_.find(Caller);
  if (Known != Owner.FlowOf_.end())
    Owner.Callers_.charge(FlowEntries_[Known->second], Difference);
}

std::optional<QueuedRequest> FairQueue::remove(QueuePosition Where) {
  if (Where.Index_ >= Nodes_.size())
    return std::nullopt;
  const Node &Found = Nodes_[Where.Index_];
  if (Found.Generation_ != Where.Generation_ || Found.Flow_ == None)
    return std::nullopt;
  return unlink(Where.Index_);
}

void FairQueue::removeIf(
    const std::function<bool(const QueuedRequest &)> &Leaves,
    std::vector<QueuedRequest> &Left) {
  if (Size_ == 0)
    return;
  for (std::uint32_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (Nodes_[Index].Flow_ == None || !Leaves(Nodes_[Index].Request_))
      continue;
    Left.push_back(unlink(Index));
  }
}

base::Duration FairQueue::workAhead(CustomerIndex Customer,
                                    std::uint64_t Caller) const {
  // Each other caller is served as much as this one.
  const CustomerLine &Own = Customers_[Customer];
  base::Duration Mine{};
  const auto Known = Own.FlowOf_.find(Caller);
  if (Known != Own.FlowOf_.end())
    Mine = Flows_[Known->second].Work_;
  const base::Duration Turn = Mine + DeficitRing::Quantum;
  return std::min(Own.Work_, Turn * std::max(1U, Own.Callers_.count()));
}

std::size_t FairQueue::sizeOf(CustomerIndex Customer) const noexcept {
  return Customers_[Customer].Size_;
}

std::uint32_t FairQueue::flowOf(CustomerIndex Customer, std::uint64_t Caller) {
  CustomerLine &Owner = Customers_[Customer];
  const auto Known = Owner.FlowOf_.find(Caller);
  if (Known != Owner.FlowOf_.end())
    return Known->second;
  // Callers that no longer wait are kept for their debts only.
  static constexpr std::size_t MostIdleCallers = 4096;
  if (Owner.FlowOf_.size() >= Owner.Callers_.count() + MostIdleCallers)
    dropFlows(Owner);
  std::uint32_t Index = 0;
  if (FreeFlows_.empty()) {
    Index = static_cast<std::uint32_t>(Flows_.size());
    Flows_.emplace_back();
    FlowEntries_.emplace_back();
  } else {
    Index = FreeFlows_.back();
    FreeFlows_.pop_back();
  }
  Flows_[Index] = {Caller, Customer, None, None, {}};
  FlowEntries_[Index] = {};
  Owner.FlowOf_.emplace(Caller, Index);
  return Index;
}

std::uint32_t FairQueue::takeNode(const QueuedRequest &Request,
                                  std::uint32_t FlowIndex) {
  std::uint32_t Index = 0;
  if (FreeNodes_.empty()) {
    Index = static_cast<std::uint32_t>(Nodes_.size());
    Nodes_.emplace_back();
  } else {
    Index = FreeNodes_.back();
    FreeNodes_.pop_back();
  }
  Node &Fresh = Nodes_[Index];
  Flow &Line = Flows_[FlowIndex];
  Fresh.Request_ = Request;
  Fresh.Flow_ = FlowIndex;
  Fresh.Previous_ = Line.Last_;
  Fresh.Next_ = None;
  if (Line.Last_ == None)
    Line.First_ = Index;
  else
    Nodes_[Line.Last_].Next_ = Index;
  Line.Last_ = Index;
  return Index;
}

void FairQueue::dropFlows(CustomerLine &Idle) {
  std::erase_if(Idle.FlowOf_, [this](const auto &Each) {
    if (Flows_[Each.second].First_ != None)
      return false;
    FreeFlows_.push_back(Each.second);
    return true;
  });
}

QueuedRequest FairQueue::unlink(std::uint32_t NodeIndex) {
  Node &Leaving = Nodes_[NodeIndex];
  Flow &Line = Flows_[Leaving.Flow_];
  CustomerLine &Owner = Customers_[Line.Customer_];
  if (Leaving.Previous_ == None)
    Line.First_ = Leaving.Next_;
  else
    Nodes_[Leaving.Previous_].Next_ = Leaving.Next_;
  if (Leaving.Next_ == None)
    Line.Last_ = Leaving.Previous_;
  else
    Nodes_[Leaving.Next_].Previous_ = Leaving.Previous_;
  Line.Work_ -= Leaving.Request_.Work_;
  Owner.Work_ -= Leaving.Request_.Work_;
  --Owner.Size_;
  --Size_;
  if (Line.First_ == None)
    Owner.Callers_.leave(FlowEntries_, Leaving.Flow_);
  if (Owner.Size_ == 0)
    Ring_.leave(CustomerEntries_, Line.Customer_);
  Leaving.Flow_ = None;
  ++Leaving.Generation_;
  FreeNodes_.push_back(NodeIndex);
  return Leaving.Request_;
}

} // namespace lychee::admission
