#include "members/HostTable.h"

#include "base/Random.h"
#include "members/RegionTeller.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using members::HostTable;
using namespace std::chrono_literals;

namespace {

/// Hosts of some regions in virtual time: heartbeats inside regions, news
/// between them, as the exchanges of a live host send them. Datagrams take
/// their time, and some are lost.
class Fleet {
public:
  static constexpr base::Duration Step = 20ms;
  static constexpr base::Duration Pace = 500ms;
  static constexpr base::Duration NearDelay = 20ms;
  static constexpr base::Duration FarDelay = 40ms;

  Fleet(std::size_t Count, std::size_t Regions, double Lost = 0)
      : Regions_(Regions), Lost_(Lost) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      Listed_.push_back({std::to_string(Number), regionOf(Number)});
    Hosts_.resize(Count);
    for (std::size_t Number = 0; Number < Count; ++Number)
      restart(Number);
  }

  void play(base::Duration Span) {
    for (const base::TimePoint End = Now_ + Span; Now_ < End; Now_ += Step) {
      while (!OnTheWay_.empty() && OnTheWay_.begin()->first <= Now_) {
        const Datagram Each = std::move(OnTheWay_.begin()->second);
        OnTheWay_.erase(OnTheWay_.begin());
        deliver(Each);
      }
      for (std::size_t Number = 0; Number < Hosts_.size(); ++Number)
        if (!Down_.contains(Number) && isDue(Number))
          beat(Number);
    }
  }

  void setDown(std::size_t Number, bool Down) {
    if (Down)
      Down_.insert(Number);
    else
      Down_.erase(Number);
  }
  /// The host starts anew, and remembers nothing.
  void restart(std::size_t Number) {
    members::HostDescriptor Card = cardOf(Number);
    Card.Incarnation_ = ++Starts_;
    Hosts_[Number] = {};
    Hosts_[Number].Book_ = std::make_unique<HostTable>(Card);
    Hosts_[Number].Begun_ = Now_;
    Hosts_[Number].Book_->setListed(Listed_);
    setDown(Number, false);
  }
  void setDemand(std::size_t Number, double PerSecond) {
    Hosts_[Number].Demand_ = PerSecond;
  }
  /// The regions hear nothing of each other.
  void cut(std::size_t One, std::size_t Other, bool Cut) {
    if (Cut)
      Cuts_.insert(std::minmax(One, Other));
    else
      Cuts_.erase(std::minmax(One, Other));
  }

  bool isSpeaker(std::size_t Number) const {
    return Hosts_[Number].Book_->isSpeaker(false, Now_ - Hosts_[Number].Begun_,
                                           Now_);
  }
  std::vector<std::size_t> speakersOf(std::size_t Region) const {
    std::vector<std::size_t> All;
    for (std::size_t Number = Region; Number < Hosts_.size();
         Number += Regions_)
      if (!Down_.contains(Number) && isSpeaker(Number))
        All.push_back(Number);
    return All;
  }

  /// \returns how many hosts the host takes for alive, itself included.
  std::size_t aliveAt(std::size_t Number) const {
    std::size_t Alive = 1;
    for (const members::HostView &Each : Hosts_[Number].Book_->others(Now_))
      Alive += Each.Alive_ ? 1 : 0;
    return Alive;
  }
  /// \returns what the host knows of the demand in other regions.
  double farDemandAt(std::size_t Number) const {
    double Sum = 0;
    for (const members::RegionView &Region :
         Hosts_[Number].Book_->regions(Now_))
      for (const members::CustomerDemand &Each : Region.Demands_)
        Sum += Region.HoldsShare_ ? Each.RequestsPerSecond_ : 0;
    return Sum;
  }
  bool takesForAlive(std::size_t Number, std::size_t Other) const {
    for (const members::HostView &Each : Hosts_[Number].Book_->others(Now_))
      if (Each.Descriptor_.Address_ == std::to_string(Other))
        return Each.Alive_;
    return false;
  }
  bool isCutOff(std::size_t Number) const {
    return Hosts_[Number].Book_->isCutOff(Now_);
  }

  /// Bytes that went between regions.
  std::size_t farBytes() const { return FarBytes_; }
  void forgetBytes() { FarBytes_ = 0; }

  std::size_t size() const { return Hosts_.size(); }
  std::size_t regionIndexOf(std::size_t Number) const {
    return Number % Regions_;
  }

private:
  struct Host {
    std::unique_ptr<HostTable> Book_;
    members::RegionTeller Teller_;
    std::uint64_t Sequence_ = 0;
    base::TimePoint Begun_;
    double Demand_ = 1;
  };

  struct Datagram {
    std::size_t From_ = 0;
    std::size_t To_ = 0;
    std::shared_ptr<const members::Heartbeat> Heartbeat_;
    std::shared_ptr<const members::RegionUpdate> News_;
    std::size_t Bytes_ = 0;
  };

  base::RegionId regionOf(std::size_t Number) const {
    return base::RegionId("region-" + std::to_string(Number % Regions_));
  }
  members::HostDescriptor cardOf(std::size_t Number) const {
    members::HostDescriptor Made;
    Made.Host_ = base::HostId("host-" + std::to_string(Number));
    Made.Region_ = regionOf(Number);
    Made.Zone_ = base::ZoneId("zone");
    Made.Address_ = std::to_string(Number);
    Made.CallerAddress_ = Made.Address_ + ":80";
    return Made;
  }

  bool isDue(std::size_t Number) const {
    const base::Duration Shift = Step * static_cast<int>(Number * 7);
    return (Now_.time_since_epoch() + Shift) % Pace < Step;
  }

  void send(const Datagram &Each) {
    const std::size_t From = regionIndexOf(Each.From_);
    const std::size_t To = regionIndexOf(Each.To_);
    if (From != To)
      FarBytes_ += Each.Bytes_;
    if (base::drawUnit(Random_) < Lost_ ||
        Cuts_.contains(std::minmax(From, To)))
      return;
    OnTheWay_.emplace(Now_ + (From == To ? NearDelay : FarDelay), Each);
  }

  void beat(std::size_t Number) {
    Host &Self = Hosts_[Number];
    members::Heartbeat Said;
    Said.Sender_ = Self.Book_->self();
    Said.Sequence_ = ++Self.Sequence_;
    Said.Ready_ = true;
    Said.Demands_ = {{base::CustomerId("c"), Self.Demand_}};
    const std::size_t Bytes = members::encodeHeartbeat(Said).size();
    const auto Sent = std::make_shared<const members::Heartbeat>(Said);
    for (const std::string &Each : Self.Book_->recipients(Now_))
      send({Number, std::stoul(Each), Sent, nullptr, Bytes});
    if (!Self.Book_->isSpeaker(false, Now_ - Self.Begun_, Now_))
      return;
    members::RegionUpdate News;
    News.Region_ = Said.Sender_.Region_;
    News.Speaker_ = Said.Sender_.Host_;
    News.Start_ = Said.Sender_.Incarnation_;
    News.Sequence_ = Self.Sequence_;
    News.Summary_ = Self.Teller_.tell(
        Self.Book_->summary({true, false, Said.Demands_, {}, {}}, Now_));
    const std::size_t NewsBytes = members::encodeRegionNews(News).size();
    const auto SentNews = std::make_shared<const members::RegionUpdate>(News);
    for (const std::string &Each : Self.Book_->farSpeakers(Now_))
      send({Number, std::stoul(Each), nullptr, SentNews, NewsBytes});
  }

  void deliver(const Datagram &Each) {
    if (Down_.contains(Each.To_))
      return;
    HostTable &Book = *Hosts_[Each.To_].Book_;
    if (Each.Heartbeat_) {
      Book.receive(*Each.Heartbeat_, Now_);
      return;
    }
    if (!Book.heardNews(*Each.News_, Now_))
      return;
    for (const std::string &To :
         Book.passOnTo(std::to_string(Each.From_), false, Now_))
      send({Each.To_, std::stoul(To), nullptr, Each.News_, Each.Bytes_});
  }

  const std::size_t Regions_;
  const double Lost_;
  base::TimePoint Now_ = base::TimePoint(1000s);
  base::Random Random_{11};
  std::vector<members::ListedHost> Listed_;
  std::vector<Host> Hosts_;
  std::set<std::size_t> Down_;
  std::set<std::pair<std::size_t, std::size_t>> Cuts_;
  std::multimap<base::TimePoint, Datagram> OnTheWay_;
  std::size_t FarBytes_ = 0;
  std::uint64_t Starts_ = 0;
};

} // namespace

TEST_GROUP(RegionPlay){
    static void checkAllKnown(const Fleet &Hosts, std::size_t Alive){
        for (std::size_t Each = 0; Each < Hosts.size(); ++Each)
            LONGS_EQUAL(Alive, Hosts.aliveAt(Each));
}
}
;

// All hosts start within the same second and know nothing but the store's list.
// Callers may be sent anywhere, and rates are divided, once all know all.
TEST(RegionPlay, hostsThatStartTogetherKnowEachOtherWithinTwoSeconds) {
  for (const std::size_t Count : {12U, 95U, 300U}) {
    Fleet Hosts(Count, 3);
    Hosts.play(2s);
    checkAllKnown(Hosts, Count);
    for (std::size_t Each = 0; Each < Count; ++Each)
      DOUBLES_EQUAL(double(Count) * 2 / 3, Hosts.farDemandAt(Each), 1.1);
  }
}

// Both speakers of a region are killed, frozen or cut off while a customer's
// demand in their region grows: others take their place, no region is taken for
// lost meanwhile, and the new demand is known within seconds.
TEST(RegionPlay, newsGoOnWhereBothSpeakersEnd) {
  for (const double Lost : {0.0, 0.03}) {
    Fleet Hosts(30, 3, Lost);
    Hosts.play(4s);
    const std::vector<std::size_t> Ended = Hosts.speakersOf(1);
    LONGS_EQUAL(2, Ended.size());
    for (const std::size_t Each : Ended)
      Hosts.setDown(Each, true);
    for (std::size_t Each = 1; Each < 30; Each += 3)
      Hosts.setDemand(Each, 50);
    for (int Turn = 0; Turn < 20; ++Turn) {
      Hosts.play(200ms);
      CHECK(Hosts.aliveAt(0) >= 28);
    }
    CHECK(Hosts.farDemandAt(0) >= 8 * 50);
    for (const std::size_t Each : Ended)
      CHECK_FALSE(Hosts.takesForAlive(0, Each));
  }
}

// A host that is no speaker is killed. Callers of other regions may be named to
// it until its own region has noticed and told.
TEST(RegionPlay, aDeadHostIsKnownToBeDeadElsewhereSoonAfterItsOwnRegionKnows) {
  for (const double Lost : {0.0, 0.03}) {
    Fleet Hosts(30, 3, Lost);
    Hosts.play(4s);
    std::size_t Dead = 1;
    while (Hosts.isSpeaker(Dead))
      Dead += 3;
    Hosts.setDown(Dead, true);
    Hosts.play(HostTable::AliveFor + 2 * Fleet::Pace + 100ms);
    for (std::size_t Each = 0; Each < 30; ++Each)
      CHECK(Each == Dead || !Hosts.takesForAlive(Each, Dead));
  }
}

// Two regions lose each other and nothing else. The third knows both, neither
// takes itself for cut off, and once the way is back all is known again.
TEST(RegionPlay, twoRegionsThatLoseEachOtherFindEachOtherAgain) {
  Fleet Hosts(30, 3);
  Hosts.play(4s);
  Hosts.cut(0, 1, true);
  Hosts.play(20s);
  LONGS_EQUAL(30, Hosts.aliveAt(2));
  LONGS_EQUAL(20, Hosts.aliveAt(0));
  CHECK_FALSE(Hosts.isCutOff(0));
  Hosts.cut(0, 1, false);
  Hosts.play(2s);
  checkAllKnown(Hosts, 30);
}

// A region is cut off from both others: the smaller part of the fleet must know
// that it is the one, and not take over what the others hold.
TEST(RegionPlay, aRegionThatLosesAllOthersKnowsThatItIsCutOff) {
  Fleet Hosts(30, 3);
  Hosts.play(4s);
  Hosts.cut(0, 1, true);
  Hosts.cut(0, 2, true);
  Hosts.play(members::RegionBook::AliveFor + 200ms);
  CHECK(Hosts.isCutOff(0));
  CHECK_FALSE(Hosts.isCutOff(1));
}

// All hosts lose power, and start anew a little later, with the list of hosts
// as it was. Whoever was a speaker is one again, and is heard though its count
// of news begins anew.
TEST(RegionPlay, aFleetThatRestartsKnowsItselfWithinTwoSeconds) {
  Fleet Hosts(95, 3);
  Hosts.play(4s);
  for (std::size_t Each = 0; Each < 95; ++Each)
    Hosts.restart(Each);
  Hosts.play(2s);
  checkAllKnown(Hosts, 95);
}

// A region's speakers are killed and start anew a second later, before the
// others have missed them. They are speakers again and have heard nobody yet:
// what they would tell as their region's demand is a part of it, and others
// would take the rest of each rate for theirs.
TEST(RegionPlay, aSpeakerThatHasJustStartedDoesNotTellAPartForTheWhole) {
  Fleet Hosts(30, 3);
  for (std::size_t Each = 0; Each < 30; ++Each)
    Hosts.setDemand(Each, 20);
  Hosts.play(6s);
  DOUBLES_EQUAL(400, Hosts.farDemandAt(0), 1);
  const std::vector<std::size_t> Killed = Hosts.speakersOf(1);
  for (const std::size_t Each : Killed)
    Hosts.setDown(Each, true);
  Hosts.play(1s);
  for (const std::size_t Each : Killed) {
    Hosts.restart(Each);
    Hosts.setDemand(Each, 20);
  }
  for (int Turn = 0; Turn < 30; ++Turn) {
    Hosts.play(100ms);
    CHECK(Hosts.farDemandAt(0) >= 400 - 2 * 20);
  }
}

// Between regions a host costs as much among hundreds as among a dozen; where
// each tells each it was 0.12 GB in 26 s at 95.
TEST(RegionPlay, bytesBetweenRegionsDoNotGrowWithHostsTimesHosts) {
  std::map<std::size_t, double> PerHost;
  for (const std::size_t Count : {12U, 30U, 100U, 300U}) {
    Fleet Hosts(Count, 3);
    Hosts.play(6s);
    Hosts.forgetBytes();
    Hosts.play(8s);
    PerHost[Count] = double(Hosts.farBytes()) / 8 / double(Count);
  }
  CHECK(PerHost[300] <= PerHost[30]);
  CHECK(PerHost[100] <= PerHost[12]);
}
