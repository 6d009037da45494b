#ifndef LYCHEE_MEMBERS_MESSAGEROWS_H
#define LYCHEE_MEMBERS_MESSAGEROWS_H

#include "members/Heartbeat.h"

#include <json/value.h>
#include <span>

namespace lychee::members {

// Rows shared by heartbeats and region updates. Readers return false if a row
// has another form; rows before it may already have been added.

std::string writeJson(const Json::Value &Document);
/// \returns the JSON object in \p Text; nothing and \p Last filled if there is
/// none.
std::optional<Json::Value> parseObject(std::string_view Text,
                                       base::Error &Last);

void addDemands(std::span<const CustomerDemand> All, Json::Value &Into);
void addLoads(std::span<const ServiceDemand> All, Json::Value &Into);
void addEvidence(std::span<const retrying::CrashEvidence> All,
                 Json::Value &Into);

bool readDemands(const Json::Value &Rows, std::vector<CustomerDemand> &Into);
bool readLoads(const Json::Value &Rows, std::vector<ServiceDemand> &Into);
void addPressures(std::span<const ServicePressure> All, Json::Value &Into);
/// Ignores rows beyond MaxServicePressures.
bool readPressures(const Json::Value &Rows, std::vector<ServicePressure> &Into);
void addTimes(std::span<const RuleExecutionTimes> All, Json::Value &Into);
bool readTimes(const Json::Value &Rows, std::vector<RuleExecutionTimes> &Into);
void addTargetRates(std::span<const TargetRate> All, Json::Value &Into);
bool readTargetRates(const Json::Value &Rows, std::vector<TargetRate> &Into);
void addTargetLeavings(std::span<const TargetLeaving> All, Json::Value &Into);
bool readTargetLeavings(const Json::Value &Rows,
                        std::vector<TargetLeaving> &Into);
Json::Value rowOf(const TargetRate &Entry);
/// \returns nothing if \p Row has another form.
std::optional<TargetRate> readTargetRate(const Json::Value &Row);
bool readEvidence(const Json::Value &Rows,
                  std::vector<retrying::CrashEvidence> &Into);

} // namespace lychee::members

#endif
