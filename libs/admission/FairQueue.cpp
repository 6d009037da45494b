#include "admission/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace lychee::admission {

CustomerIndex FairQueue::registerCustomer(const base::CustomerId &Customer,
                                          std::uint32_t Weight) {
  const auto [Entry, IsNew] = IndexOf_.try_emplace(
      Customer, static_cast<CustomerIndex>(Customers_.size()));
  if (IsNew) {
    Customers_.emplace_back();
    CustomerEntries_.emplace_back();
  }
  CustomerEntries_[Entry->second].Weight_ = std::max(1U, Weight);
  return Entry->second;
}

QueuePosition FairQueue::push(const QueuedRequest &Request) {
  assert(Request.Customer_ < Customers_.size() &&
         "register the customer first");
  const std::uint32_t FlowIndex = flowOf(Request.Customer_, Request.Caller_);
  CustomerQueue &Queue = Customers_[Request.Customer_];
  Flow &CallerFlow = Flows_[FlowIndex];
  if (Queue.Size_ == 0) {
    Scheduler_.join(CustomerEntries_, Request.Customer_);
  }
  if (CallerFlow.First_ == None)
    Queue.Callers_.join(FlowEntries_, FlowIndex);
  const std::uint32_t Index = allocateNode(Request, FlowIndex);
  CallerFlow.Work_ += Request.Work_;
  Queue.Work_ += Request.Work_;
  ++Queue.Size_;
  ++Size_;
  return {Index, Nodes_[Index].Generation_};
}

std::optional<QueuedRequest>
FairQueue::pop(const std::function<bool(CustomerIndex)> &NewestFirst) {
  if (Size_ == 0)
    return std::nullopt;
  const CustomerIndex Chosen = Scheduler_.selectNext(CustomerEntries_, false);
  CustomerQueue &Queue = Customers_[Chosen];
  const bool Newest = NewestFirst(Chosen);
  const std::uint32_t FlowIndex =
      Queue.Callers_.selectNext(FlowEntries_, Newest);
  const Flow &CallerFlow = Flows_[FlowIndex];
  const std::uint32_t NodeIndex = Newest ? CallerFlow.Last_ : CallerFlow.First_;
  const QueuedRequest Request = Nodes_[NodeIndex].Request_;
  Scheduler_.charge(CustomerEntries_[Chosen], Request.Work_);
  Queue.Callers_.charge(FlowEntries_[FlowIndex], Request.Work_);
  unlink(NodeIndex);
  if (Queue.Size_ > 0)
    Scheduler_.rotate(CustomerEntries_, Chosen);
  return Request;
}

void FairQueue::adjustCharge(CustomerIndex Customer, std::uint64_t Caller,
                             base::Duration Expected,
                             base::Duration Took) noexcept {
  const base::Duration Difference = Took - Expected;
  Scheduler_.charge(CustomerEntries_[Customer], Difference);
  CustomerQueue &Queue = Customers_[Customer];
  const auto Known = Queue.FlowByCaller_.find(Caller);
  if (Known != Queue.FlowByCaller_.end())
    Queue.Callers_.charge(FlowEntries_[Known->second], Difference);
}

std::optional<QueuedRequest> FairQueue::remove(QueuePosition Position) {
  if (Position.Index_ >= Nodes_.size())
    return std::nullopt;
  const Node &Found = Nodes_[Position.Index_];
  if (Found.Generation_ != Position.Generation_ || Found.Flow_ == None)
    return std::nullopt;
  return unlink(Position.Index_);
}

void FairQueue::removeIf(
    const std::function<bool(const QueuedRequest &)> &ShouldRemove,
    std::vector<QueuedRequest> &Removed) {
  if (Size_ == 0)
    return;
  for (std::uint32_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (Nodes_[Index].Flow_ == None || !ShouldRemove(Nodes_[Index].Request_))
      continue;
    Removed.push_back(unlink(Index));
  }
}

base::Duration FairQueue::workAhead(CustomerIndex Customer,
                                    std::uint64_t Caller) const {
  // While this caller is served, each other caller gets the same slot time.
  const CustomerQueue &Queue = Customers_[Customer];
  base::Duration OwnWork{};
  const auto Known = Queue.FlowByCaller_.find(Caller);
  if (Known != Queue.FlowByCaller_.end())
    OwnWork = Flows_[Known->second].Work_;
  const base::Duration Turn = OwnWork + DeficitRoundRobin::Quantum;
  return std::min(Queue.Work_, Turn * std::max(1U, Queue.Callers_.count()));
}

std::size_t FairQueue::sizeOf(CustomerIndex Customer) const noexcept {
  return Customers_[Customer].Size_;
}

std::uint32_t FairQueue::flowOf(CustomerIndex Customer, std::uint64_t Caller) {
  CustomerQueue &Queue = Customers_[Customer];
  const auto Known = Queue.FlowByCaller_.find(Caller);
  if (Known != Queue.FlowByCaller_.end())
    return Known->second;
  // Callers without queued requests are kept only for their debts.
  static constexpr std::size_t MaxIdleCallers = 4096;
  if (Queue.FlowByCaller_.size() >= Queue.Callers_.count() + MaxIdleCallers)
    releaseIdleFlows(Queue);
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
  Queue.FlowByCaller_.emplace(Caller, Index);
  return Index;
}

std::uint32_t FairQueue::allocateNode(const QueuedRequest &Request,
                                      std::uint32_t FlowIndex) {
  std::uint32_t Index = 0;
  if (FreeNodes_.empty()) {
    Index = static_cast<std::uint32_t>(Nodes_.size());
    Nodes_.emplace_back();
  } else {
    Index = FreeNodes_.back();
    FreeNodes_.pop_back();
  }
  Node &Added = Nodes_[Index];
  Flow &CallerFlow = Flows_[FlowIndex];
  Added.Request_ = Request;
  Added.Flow_ = FlowIndex;
  Added.Previous_ = CallerFlow.Last_;
  Added.Next_ = None;
  if (CallerFlow.Last_ == None)
    CallerFlow.First_ = Index;
  else
    Nodes_[CallerFlow.Last_].Next_ = Index;
  CallerFlow.Last_ = Index;
  return Index;
}

void FairQueue::releaseIdleFlows(CustomerQueue &Queue) {
  std::erase_if(Queue.FlowByCaller_, [this](const auto &Each) {
    if (Flows_[Each.second].First_ != None)
      return false;
    FreeFlows_.push_back(Each.second);
    return true;
  });
}

QueuedRequest FairQueue::unlink(std::uint32_t NodeIndex) {
  Node &Removed = Nodes_[NodeIndex];
  Flow &CallerFlow = Flows_[Removed.Flow_];
  CustomerQueue &Queue = Customers_[CallerFlow.Customer_];
  if (Removed.Previous_ == None)
    CallerFlow.First_ = Removed.Next_;
  else
    Nodes_[Removed.Previous_].Next_ = Removed.Next_;
  if (Removed.Next_ == None)
    CallerFlow.Last_ = Removed.Previous_;
  else
    Nodes_[Removed.Next_].Previous_ = Removed.Previous_;
  CallerFlow.Work_ -= Removed.Request_.Work_;
  Queue.Work_ -= Removed.Request_.Work_;
  --Queue.Size_;
  --Size_;
  if (CallerFlow.First_ == None)
    Queue.Callers_.leave(FlowEntries_, Removed.Flow_);
  if (Queue.Size_ == 0)
    Scheduler_.leave(CustomerEntries_, CallerFlow.Customer_);
  Removed.Flow_ = None;
  ++Removed.Generation_;
  FreeNodes_.push_back(NodeIndex);
  return Removed.Request_;
}

} // namespace lychee::admission
