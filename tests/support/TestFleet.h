#ifndef LYCHEE_TESTS_SUPPORT_TESTFLEET_H
#define LYCHEE_TESTS_SUPPORT_TESTFLEET_H

#include "support/ChildProcess.h"
#include "support/HttpCall.h"

#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lychee::tests {

/// How large a fleet a test wants.
struct FleetPlan {
  /// One host each; equal zones share a lease record.
  std::vector<std::string> HostZones_ = {"near-1"};
  /// One target each.
  std::vector<std::string> TargetZones_ = {"near-1", "near-1"};
  int Slots_ = 3;
  /// Time a target works on a request, milliseconds.
  int WorkMilliseconds_ = 1;
  double RatePerSecond_ = 1000;
  double Burst_ = 500;
  /// Further lines for the section of every host's file, such as "[stop]...".
  std::string HostLines_;
};

/// A whole small fleet of real processes on addresses of its own: stand-in
/// store and targets, daemons, and settings applied by the command line. Two
/// regions, "near" and "far", with two zones each. Everything is ended with the
/// object.
class TestFleet {
public:
  explicit TestFleet(FleetPlan Plan);
  TestFleet(const TestFleet &) = delete;
  TestFleet &operator=(const TestFleet &) = delete;
  ~TestFleet();

  /// Starts everything and applies the first settings. \returns false, with
  /// what went wrong in trouble(), where some part did not come up.
  bool start();
  const std::string &trouble() const noexcept { return Trouble_; }

  // Parts.

  void startHost(std::size_t Index);
  void startTarget(std::size_t Index);
  void startStore();
  ChildProcess &host(std::size_t Index) { return *Hosts_.at(Index); }
  ChildProcess &target(std::size_t Index) { return *Targets_.at(Index); }
  ChildProcess &store() { return *Store_; }
  void stopTarget(std::size_t Index) { Targets_.at(Index).reset(); }
  void stopStore() { Store_.reset(); }

  // Addresses, IP:PORT.

  std::string callers(std::size_t Host) const;
  std::string peers(std::size_t Host) const;
  std::string metrics(std::size_t Host) const;
  std::string targetAddress(std::size_t Target) const;
  std::string storeAddress() const;

  // Use.

  /// A request of the fleet's customer "parish", with its key.
  CallerRequest request(const std::string &Method = "GET",
                        const std::string &Path = "/rota") const;

  /// Runs the command-line tool as the bootstrap operator.
  Finished lychee(std::vector<std::string> Words, std::size_t Host = 0);

  /// Writes a document of the test's settings folder.
  void writeDocument(const std::string &Path, const std::string &Text) const;
  /// Applies the settings folder and waits until it is in force everywhere.
  Finished apply(std::size_t Host = 0);

  /// Asks until \p Holds says so. \returns false after half a minute.
  static bool waitFor(const std::function<bool()> &Holds);

  const std::string &key() const noexcept { return Key_; }
  std::string folder() const { return Folder_; }

private:
  std::string address(int Last, int Port) const;
  void writeSettings() const;
  std::string hostFile(std::size_t Index) const;
  bool fail(std::string Why);

  const FleetPlan Plan_;
  const std::string Prefix_;
  const std::string Folder_;
  const std::string Key_;
  std::string Trouble_;
  int Runs_ = 0;
  std::unique_ptr<ChildProcess> Store_;
  std::vector<std::unique_ptr<ChildProcess>> Hosts_;
  std::vector<std::unique_ptr<ChildProcess>> Targets_;
};

} // namespace lychee::tests

#endif
