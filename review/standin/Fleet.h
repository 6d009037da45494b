// A small deployment on loopback addresses of this process's own: the store,
// hosts, and what each case adds.
#ifndef REVIEW_STANDIN_FLEET_H
#define REVIEW_STANDIN_FLEET_H

#include "Client.h"
#include "Endpoint.h"
#include "Host.h"
#include "Store.h"

#include <optional>

namespace review {

inline bool isTroubled() {
  const char *Wanted = std::getenv("TROUBLE");
  return Wanted == nullptr || std::string(Wanted) != "0";
}

class Fleet {
public:
  /// \param Folder  temporary: settings files and logs of the hosts.
  Fleet(std::string Folder, int Hosts, const ConfigPlan &Config)
      : Folder_(std::move(Folder)), Store_(at(99, 8382)) {
    Store_.put("config", "main", configText(Config));
    for (int Each = 0; Each < Hosts; ++Each) {
      HostPlan Plan;
      Plan.Name_ = "edge-fuk-a-" + std::to_string(Each + 1);
      Plan.Ip_ = at(Each + 1, 0).Ip_;
      Plan.Store_ = at(99, 8382);
      for (int Seed = 0; Seed < std::min(Hosts, 3); ++Seed)
        Plan.Seeds_.push_back(at(Seed + 1, 8381).text());
      Plans_.push_back(Plan);
    }
  }
  static Address at(int Last, int Port) {
    const int Number = getpid();
    return {"127." + std::to_string(100 + Number % 100) + "." +
                std::to_string(1 + Number / 100 % 250) + "." +
                std::to_string(Last),
            Port};
  }
  Store &store() { return Store_; }
  /// Starts all hosts. \returns whether they are ready in time.
  bool startHosts() {
    for (const HostPlan &Plan : Plans_)
      Hosts_.push_back(std::make_unique<Host>(Plan, Folder_));
    for (const auto &Each : Hosts_)
      if (!Each->awaitReady(15000))
        return false;
    return true;
  }
  Host &host(int Index) { return *Hosts_[Index]; }
  std::size_t hostCount() const { return Hosts_.size(); }
  bool hasAnyHostEnded() {
    for (const auto &Each : Hosts_)
      if (Each->hasEnded())
        return true;
    return false;
  }

private:
  const std::string Folder_;
  Store Store_;
  std::vector<HostPlan> Plans_;
  std::vector<std::unique_ptr<Host>> Hosts_;
};

} // namespace review

#endif
