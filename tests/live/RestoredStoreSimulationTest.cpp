#include "base/Random.h"
#include "live/EvacuationRegistry.h"
#include "live/ObjectMirror.h"
#include "live/TargetRegistry.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace live = lychee::live;
using live::ObjectBatch;
using live::StoredObject;
using live::StoreRevision;
using namespace std::chrono_literals;

namespace {

enum Kind { Config, Targets, Evacuations, KindCount };
constexpr const char *ConfigName = "main";

/// A store in virtual time that can come back from an older copy.
class Store {
public:
  bool Down_ = false;

  void write(Kind Of, const std::string &Name, const Json::Value &Content,
             bool Deleted, base::TimePoint Now) {
    Changes_.push_back(
        {Of, {Name, {++Revision_, Era_}, Content, Deleted}, Now});
  }

  void restore(base::Duration Age, base::TimePoint Now) {
    ++Era_;
    while (!Changes_.empty() && Changes_.back().At_ > Now - Age) {
      Changes_.pop_back();
      --Revision_;
    }
    for (Change &Each : Changes_)
      Each.Object_.Revision_.Era_ = Era_;
  }

  ObjectBatch list(Kind Of) const {
    std::map<std::string, StoredObject> State;
    for (const Change &Each : Changes_)
      if (Each.Of_ == Of)
        State[Each.Object_.Name_] = Each.Object_;
    ObjectBatch All{{}, {Revision_, Era_}};
    for (auto &[Name, Object] : State)
      if (!Object.Deleted_)
        All.Objects_.push_back(std::move(Object));
    return All;
  }

  std::optional<ObjectBatch> changesSince(Kind Of, StoreRevision Since) const {
    if (Since.Number_ > Revision_)
      return std::nullopt;
    ObjectBatch Found{{}, {Revision_, Era_}};
    for (const Change &Each : Changes_)
      if (Each.Of_ == Of && Each.Object_.Revision_.Number_ > Since.Number_)
        Found.Objects_.push_back(Each.Object_);
    return Found;
  }

private:
  struct Change {
    Kind Of_;
    StoredObject Object_;
    base::TimePoint At_;
  };

  std::uint64_t Era_ = 1;
  std::uint64_t Revision_ = 0;
  std::vector<Change> Changes_;
};

/// One host: what it knows, and the answer that it waits for.
struct Host {
  std::array<live::ObjectMirror, KindCount> Mirrors_;
  std::array<bool, KindCount> Listed_{};
  live::TargetRegistry Targets_{2500ms};
  live::EvacuationRegistry Evacuations_;
  std::uint64_t Version_ = 0;
  std::uint64_t Era_ = 0;
  /// Targets that were heard to leave, with their starts.
  std::set<std::pair<std::string, std::int64_t>> Left_;
  bool IsReader_ = false;
  base::TimePoint CutUntil_;
  base::TimePoint ActsAt_;
  std::function<void(base::TimePoint)> Answer_;
};

/// Hosts of one region. Two or more read the store, the others poll those;
/// answers are under way for up to 300 ms. The store comes back from copies of
/// any age while the operator and targets write, and they write again within
/// 1.9 s.
class Simulation {
public:
  static constexpr base::Duration Step = 20ms;
  static constexpr int TargetCount = 6;

  Simulation(std::size_t Hosts, std::uint64_t Seed)
      : Random_(Seed), Hosts_(Hosts) {
    const std::size_t Readers = std::max<std::size_t>(2, Hosts / 25);
    for (std::size_t Each = 0; Each < Readers; ++Each)
      Hosts_[Each].IsReader_ = true;
    set(Config, ConfigName, 1);
    for (int Each = 0; Each < TargetCount; ++Each)
      set(Targets, "t" + std::to_string(Each), 1);
  }

  std::set<std::string> Broken_;
  std::size_t ListsByOthers_ = 0;

  void play(base::Duration Time, bool WithTroubles) {
    for (const base::TimePoint End = Now_ + Time; Now_ < End; Now_ += Step) {
      if (WithTroubles)
        trouble();
      for (auto Due = Later_.begin(); Due != Later_.end() && Due->first <= Now_;
           Due = Later_.begin()) {
        const std::function<void()> Act = std::move(Due->second);
        Later_.erase(Due);
        Act();
      }
      for (Host &Each : Hosts_)
        act(Each);
    }
  }

  /// Every host has the state that the operator and targets wrote last.
  void checkSettled() {
    for (Host &Each : Hosts_) {
      if (Each.Version_ != newest(Config, ConfigName))
        Broken_.insert("version");
      std::size_t Known = 0;
      for (const live::KnownTarget &Target : Each.Targets_.targets())
        Known += stateOf(Target.Record_) ==
                         newest(Targets, Target.Record_.Id_.name())
                     ? 1
                     : 0;
      if (Known != present(Targets) || Known != Each.Targets_.size())
        Broken_.insert("targets");
      if (Each.Evacuations_.zones().size() != present(Evacuations))
        Broken_.insert("evacuations");
    }
  }

private:
  /// A target's content: its start, negative where it leaves.
  static std::uint64_t stateOf(const live::TargetRecord &Record) {
    return static_cast<std::uint64_t>(Record.Started_) * 2 +
           (Record.Leaving_ ? 1 : 0);
  }

  base::Duration draw(base::Duration Most) {
    return base::fromSeconds(base::drawUnit(Random_) * base::toSeconds(Most));
  }
  bool chance(double PerSecond) {
    return base::drawUnit(Random_) < PerSecond * base::toSeconds(Step);
  }

  std::uint64_t newest(Kind Of, const std::string &Name) const {
    const auto Found = Owned_.find({Of, Name});
    return Found == Owned_.end() ? 0 : Found->second;
  }
  std::size_t present(Kind Of) const {
    std::size_t Count = 0;
    for (const auto &[Object, State] : Owned_)
      Count += Object.first == Of && State != 0 ? 1 : 0;
    return Count;
  }

  /// \param State 0: deleted. Of a target: twice its start, and one more where
  /// it leaves.
  void set(Kind Of, const std::string &Name, std::uint64_t State) {
    Owned_[{Of, Name}] = Of == Targets && State == 1 ? 2 : State;
    writeOwned(Of, Name);
  }

  void writeOwned(Kind Of, const std::string &Name) {
    const std::uint64_t State = newest(Of, Name);
    if (Store_.Down_)
      Later_.emplace(Now_ + 100ms, [this, Of, Name] { writeOwned(Of, Name); });
    else
      Store_.write(Of, Name, Json::UInt64(State), State == 0, Now_);
  }

  void trouble() {
    if (chance(0.5))
      set(Config, ConfigName, newest(Config, ConfigName) + 1);
    if (chance(0.5))
      changeTarget("t" + std::to_string(Random_() % TargetCount));
    if (chance(0.3))
      set(Evacuations, "zone", newest(Evacuations, "zone") == 0 ? 1 : 0);
    if (chance(1))
      Hosts_[Random_() % Hosts_.size()].CutUntil_ = Now_ + draw(3s);
    if (chance(0.25) && !Store_.Down_) {
      Store_.Down_ = true;
      const base::Duration Age = draw(8s);
      Later_.emplace(Now_ + draw(2s), [this, Age] { comeBack(Age); });
    }
  }

  /// Each start of a target leaves before the next one begins.
  void changeTarget(const std::string &Name) {
    set(Targets, Name, newest(Targets, Name) + 1);
  }

  void comeBack(base::Duration Age) {
    Store_.restore(Age, Now_);
    Store_.Down_ = false;
    for (const auto &[Object, State] : Owned_)
      Later_.emplace(Now_ + draw(1900ms), [this, Object = Object] {
        writeOwned(Object.first, Object.second);
      });
  }

  void act(Host &Self) {
    Self.Targets_.expire(Now_);
    Self.Evacuations_.expire(Now_);
    for (const live::KnownTarget &Each : Self.Targets_.targets())
      if (!Each.Record_.Leaving_ &&
          Self.Left_.contains({Each.Record_.Id_.name(), Each.Record_.Started_}))
        Broken_.insert("sent-to-leaving");
    if (Now_ < Self.ActsAt_)
      return;
    if (Self.Answer_)
      std::exchange(Self.Answer_, nullptr)(Now_);
    Self.ActsAt_ = Now_ + draw(300ms);
    const bool HasState = !Self.Mirrors_[Config].isEmpty() &&
                          !Self.Mirrors_[Targets].isEmpty() &&
                          !Self.Mirrors_[Evacuations].isEmpty();
    if (Self.IsReader_ || !HasState)
      read(Self);
    else
      poll(Self, Hosts_[Random_() % readerCount()]);
  }

  std::size_t readerCount() const {
    return std::max<std::size_t>(2, Hosts_.size() / 25);
  }

  void read(Host &Self) {
    if (Store_.Down_ || Now_ < Self.CutUntil_) {
      Self.Targets_.noteTrouble(Now_);
      Self.Listed_.fill(false);
      return;
    }
    std::array<std::optional<ObjectBatch>, KindCount> Lists;
    std::array<std::optional<ObjectBatch>, KindCount> Watches;
    for (const Kind Of : {Config, Targets, Evacuations}) {
      if (Self.Listed_[Of])
        Watches[Of] = Store_.changesSince(Of, Self.Mirrors_[Of].revision());
      else
        Lists[Of] = Store_.list(Of);
    }
    Self.Answer_ = [this, &Self, Lists, Watches](base::TimePoint Now) {
      for (const Kind Of : {Config, Targets, Evacuations})
        takeRead(Self, Of, Lists[Of], Watches[Of], Now);
    };
  }

  static void takeRead(Host &Self, Kind Of,
                       const std::optional<ObjectBatch> &List,
                       const std::optional<ObjectBatch> &Watch,
                       base::TimePoint Now) {
    live::ObjectMirror &Mirror = Self.Mirrors_[Of];
    if (List) {
      noteEra(Self, List->Revision_.Era_, Now);
      Self.Listed_[Of] = List->Revision_.Era_ >= Mirror.revision().Era_;
      take(Self, Of, Mirror.replaceAll(*List, Now), Now);
      return;
    }
    if (!Watch || Watch->Revision_.Era_ != Mirror.revision().Era_) {
      Self.Listed_[Of] = false;
      return;
    }
    take(Self, Of, Mirror.apply(*Watch, Now), Now);
  }

  void poll(Host &Self, const Host &Reader) {
    std::array<std::optional<ObjectBatch>, KindCount> News;
    for (const Kind Of : {Config, Targets, Evacuations})
      News[Of] = Reader.Mirrors_[Of].changesSince(Self.Mirrors_[Of].revision());
    Self.Answer_ = [this, &Self, News](base::TimePoint Now) {
      for (const Kind Of : {Config, Targets, Evacuations})
        takeNews(Self, Of, News[Of], Now);
    };
  }

  void takeNews(Host &Self, Kind Of, const std::optional<ObjectBatch> &News,
                base::TimePoint Now) {
    live::ObjectMirror &Mirror = Self.Mirrors_[Of];
    if (News) {
      noteEra(Self, News->Revision_.Era_, Now);
      take(Self, Of, Mirror.apply(*News, Now), Now);
      if (!Mirror.takeIncomplete())
        return;
    }
    ++ListsByOthers_;
    if (!Store_.Down_)
      takeRead(Self, Of, Store_.list(Of), std::nullopt, Now);
  }

  static void noteEra(Host &Self, std::uint64_t Era, base::TimePoint Now) {
    if (Era <= Self.Era_)
      return;
    Self.Targets_.noteTrouble(Now);
    Self.Targets_.noteRestore(Now);
    Self.Evacuations_.noteRestore(Now);
    Self.Era_ = Era;
  }

  static void take(Host &Self, Kind Of,
                   const std::vector<StoredObject> &Changes,
                   base::TimePoint Now) {
    for (const StoredObject &Each : Changes) {
      const std::uint64_t State = Each.Deleted_ ? 0 : Each.Content_.asUInt64();
      if (Of == Config)
        Self.Version_ = std::max(Self.Version_, State);
      else if (Of == Evacuations)
        Self.Evacuations_.set(base::ZoneId(Each.Name_), !Each.Deleted_,
                              Each.Restored_, Now);
      else
        takeTarget(Self, Each, State, Now);
    }
  }

  static void takeTarget(Host &Self, const StoredObject &Entry,
                         std::uint64_t State, base::TimePoint Now) {
    live::TargetChange Change{base::TargetId(Entry.Name_), std::nullopt,
                              Entry.Restored_};
    if (State != 0) {
      live::TargetRecord Record;
      Record.Id_ = Change.Target_;
      Record.Started_ = static_cast<std::int64_t>(State / 2);
      Record.Leaving_ = State % 2 == 1;
      if (Record.Leaving_)
        Self.Left_.emplace(Entry.Name_, Record.Started_);
      Change.Record_ = std::move(Record);
    }
    Self.Targets_.apply({&Change, 1}, Now);
  }

  base::Random Random_;
  base::TimePoint Now_ = base::TimePoint(100s);
  Store Store_;
  std::vector<Host> Hosts_;
  std::map<std::pair<Kind, std::string>, std::uint64_t> Owned_;
  std::multimap<base::TimePoint, std::function<void()>> Later_;
};

std::string playSeed(std::size_t Hosts, std::uint64_t Seed) {
  Simulation Played(Hosts, Seed);
  Played.play(3s, false);
  Played.play(20s, true);
  Played.play(12s, false);
  Played.checkSettled();
  std::string Broken;
  for (const std::string &Each : Played.Broken_)
    Broken += Each + " ";
  return Broken;
}

} // namespace

TEST_GROUP(RestoredStoreSimulation){};

TEST(RestoredStoreSimulation, twelveHostsFollowAndKeepWhatTheyHeard) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed)
    STRCMP_EQUAL("", playSeed(12, Seed).c_str());
}

TEST(RestoredStoreSimulation, threeHundredHostsFollowAndKeepWhatTheyHeard) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
    STRCMP_EQUAL("", playSeed(300, Seed).c_str());
}
