#include "scenario/EventParser.h"

#include "scenario/Units.h"

#include <algorithm>
#include <array>

namespace lychee::scenario {

namespace {

constexpr std::string_view TimeForm = "a time such as 250ms or 5s";
constexpr std::string_view NumberForm = "a number from 0 on";
constexpr std::string_view ShareForm = "a share such as 50% or 0.5";

void readTarget(ScenarioLine &Line, EventSpec &Event) {
  Event.Name_ = Line.word("a target, or the beginning of names and *");
  if (Line.hasOption("slow")) {
    Event.Kind_ = EventSpec::Kind::TargetSlow;
    Event.Amount_ = Line.required("slow", parseNumber, NumberForm);
    return;
  }
  if (Line.hasOption("sheds")) {
    Event.Kind_ = EventSpec::Kind::TargetSheds;
    Event.Amount_ = Line.required("sheds", parseShare, ShareForm);
    return;
  }
  if (Line.takeWord("down"))
    Event.Kind_ = EventSpec::Kind::TargetDown;
  else if (Line.takeWord("silent"))
    Event.Kind_ = EventSpec::Kind::TargetSilent;
  else if (Line.takeWord("lies"))
    Event.Kind_ = EventSpec::Kind::TargetLies;
  else
    Line.problem("no fault of the target",
                 "slow=N, sheds=SHARE, down, silent or lies");
}

void readReports(ScenarioLine &Line, EventSpec &Event) {
  Event.Name_ = Line.word("a target, or the beginning of names and *");
  Event.Kind_ = EventSpec::Kind::ReportsStop;
  if (Line.takeWord("stop"))
    return;
  Event.Kind_ = EventSpec::Kind::ReportsLag;
  Event.Span_ = Line.required("lag", parseDuration, TimeForm);
}

void readRegion(ScenarioLine &Line, EventSpec &Event) {
  Event.Kind_ = EventSpec::Kind::RegionLost;
  Event.Name_ = Line.word("a region");
  if (!Line.takeWord("lost"))
    Line.problem("no fault of the region", "lost");
}

void readHost(ScenarioLine &Line, EventSpec &Event) {
  Event.Kind_ = EventSpec::Kind::HostGone;
  Event.Name_ = Line.word("a host, such as REGION-1");
  if (!Line.takeWord("gone"))
    Line.problem("no fault of the host", "gone");
}

void readPeers(ScenarioLine &Line, EventSpec &Event) {
  Event.Kind_ = EventSpec::Kind::PeersCut;
  if (!Line.takeWord("cut"))
    Line.problem("no fault of the peers", "cut");
}

void readLoad(ScenarioLine &Line, EventSpec &Event) {
  Event.Kind_ = EventSpec::Kind::LoadFactor;
  Event.Name_ = Line.word("a load's label, or *");
  Event.Amount_ = Line.required("factor", parseNumber, NumberForm);
}

void readPoison(ScenarioLine &Line, EventSpec &Event) {
  Event.Kind_ = EventSpec::Kind::Poison;
  Event.Name_ = Line.word("a load's label");
  Event.Span_ = Line.required("every", parseDuration, TimeForm);
  Event.Amount_ = Line.required("count", parseNumber, NumberForm);
}

void readDrain(ScenarioLine &Line, EventSpec &Event) {
  Event.Kind_ = EventSpec::Kind::Drain;
  Event.Name_ = Line.word("a target, or the beginning of names and *");
}

void readShift(ScenarioLine &Line, EventSpec &Event) {
  Event.Kind_ = EventSpec::Kind::ShiftStart;
  Event.Name_ = Line.word("a plan's name");
  Event.Service_ = Line.textOption("service", "");
  Event.From_ = Line.textOption("from", "");
  Event.To_ = Line.textOption("to", "");
  Event.Cap_ = Line.required("cap", parseShare, ShareForm);
  Event.Step_ = Line.required("step", parseShare, ShareForm);
  Event.Span_ = Line.required("pace", parseDuration, TimeForm);
}

template <EventSpec::Kind Kind>
void readPlanChange(ScenarioLine &Line, EventSpec &Event) {
  Event.Kind_ = Kind;
  Event.Name_ = Line.word("a plan's name");
}

struct EventForm {
  std::string_view Name_;
  void (*Read_)(ScenarioLine &Line, EventSpec &Event);
};

constexpr std::array Forms{
    EventForm{"target", readTarget},
    EventForm{"reports", readReports},
    EventForm{"region", readRegion},
    EventForm{"host", readHost},
    EventForm{"peers", readPeers},
    EventForm{"load", readLoad},
    EventForm{"poison", readPoison},
    EventForm{"drain", readDrain},
    EventForm{"shift", readShift},
    EventForm{"hold", readPlanChange<EventSpec::Kind::ShiftHold>},
    EventForm{"resume", readPlanChange<EventSpec::Kind::ShiftResume>},
    EventForm{"abort", readPlanChange<EventSpec::Kind::ShiftAbort>},
};

} // namespace

void readEvent(ScenarioLine &Line, Scenario &Made) {
  EventSpec Event;
  Event.Line_ = Line.number();
  Event.At_ = Line.word(parseDuration, TimeForm);
  if (Line.takeWord("for"))
    Event.For_ = Line.word(parseDuration, TimeForm);
  const std::string Name = Line.word("what happens");
  const auto *Found = std::ranges::find(Forms, Name, &EventForm::Name_);
  if (Found != Forms.end()) {
    Found->Read_(Line, Event);
    Made.Events_.push_back(Event);
    return;
  }
  std::string Names;
  for (const EventForm &Known : Forms)
    Names += (Names.empty() ? "" : ", ") + std::string(Known.Name_);
  Line.problem(Name, Names);
}

} // namespace lychee::scenario
