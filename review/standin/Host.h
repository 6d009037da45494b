// Starts the project's own program as the deploy file does: the settings file
// is made from deploy/lycheed.ini, as DEPLOY.md tells ("Settings of a
// process"), and the command is the role's.
#ifndef REVIEW_STANDIN_HOST_H
#define REVIEW_STANDIN_HOST_H

#include "Net.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// Values for the placeholders of a template.
struct Fields {
  std::map<std::string, std::string> Values_;
  /// Lists and tables: key (or index) and value of each entry.
  std::map<std::string, std::vector<std::pair<std::string, std::string>>>
      Lists_;
};

inline std::string replaceAll(std::string Text, const std::string &What,
                              const std::string &By) {
  for (std::size_t At = Text.find(What); At != std::string::npos;
       At = Text.find(What, At + By.size()))
    Text.replace(At, What.size(), By);
  return Text;
}

inline std::string render(std::string Text, const Fields &From) {
  for (const auto &[Name, Entries] : From.Lists_) {
    const std::string Open = "{{#" + Name + "}}";
    const std::string Close = "{{/" + Name + "}}";
    const std::size_t Begin = Text.find(Open);
    const std::size_t End = Text.find(Close);
    if (Begin == std::string::npos || End == std::string::npos)
      continue;
    const std::string Inner =
        Text.substr(Begin + Open.size(), End - Begin - Open.size());
    std::string Made;
    for (const auto &[Key, Value] : Entries)
      Made += replaceAll(replaceAll(Inner, "{{@}}", Key), "{{.}}", Value);
    Text.replace(Begin, End + Close.size() - Begin, Made);
  }
  for (const auto &[Name, Value] : From.Values_)
    Text = replaceAll(Text, "{{" + Name + "}}", Value);
  return Text;
}

/// Where a host listens, as the platform would assign it.
struct HostPlan {
  std::string Name_;
  std::string Ip_;
  std::string Zone_ = "fuk-a";
  std::string Region_ = "fukuoka";
  Address Store_;
  std::vector<std::string> Seeds_;

  Address front() const { return {Ip_, 8388}; }
  Address ready() const { return {Ip_, 8384}; }
  Address control() const { return {Ip_, 8381}; }
  Address directory() const { return {Ip_, 8383}; }
};

/// The bounds of the site kmw-impact, as `fleetbench wire` prints them.
inline Fields fieldsOf(const HostPlan &Plan) {
  Fields Made;
  Made.Values_ = {{"nodeName", Plan.Name_},
                  {"region", Plan.Region_},
                  {"zone", Plan.Zone_},
                  {"ip", Plan.Ip_},
                  {"listen.front", Plan.front().text()},
                  {"listen.ready", Plan.ready().text()},
                  {"listen.control", Plan.control().text()},
                  {"listen.directory", Plan.directory().text()},
                  {"platform.address", Plan.Store_.text()},
                  {"internalPorts.0", "7560"},
                  {"internalPorts.1", "7575"}};
  for (const std::string &Each : Plan.Seeds_)
    Made.Lists_["seeds"].emplace_back("", Each);
  Made.Lists_["bounds"] = {{"seedLagS", "3"},
                           {"reuseAfterS", "2"},
                           {"stableWindowMs", "3000"},
                           {"ackMs", "4000"},
                           {"catchUpS", "4"},
                           {"drainMs", "2500"},
                           {"graceS", "6"},
                           {"lossSlackMs", "200"},
                           {"configApplyMs", "2500"},
                           {"rollbackSlackMs", "250"},
                           {"maxStretchMs", "5000"},
                           {"strictRevoke", "true"},
                           {"revokeMs", "5000"},
                           {"retryBudgetRatio", "0.2"},
                           {"retryWindowS", "10"},
                           {"retryBudgetSlack", "64"},
                           {"quotaWindowS", "5"},
                           {"quotaOverage", "0.1"},
                           {"quotaSlack", "20"},
                           {"coldOverage", "1.5"},
                           {"coldSlack", "5"},
                           {"evacuateMs", "5000"},
                           {"recoveryS", "15"},
                           {"ttl_max_s", "5"},
                           {"maxShift", "0.15"}};
  for (const char *Each : {"base", "drain", "config", "cost", "retry",
                           "recover", "places", "tenants", "quota", "platform"})
    Made.Lists_["contracts"].emplace_back("", Each);
  Made.Lists_["zones"] = {
      {"fuk-a", "fukuoka"}, {"kum-a", "kumamoto"}, {"kag-a", "kagoshima"}};
  return Made;
}

/// One process of the project's program; ended when this is destroyed.
class Host {
public:
  /// \param Folder  gets the settings file and the log.
  Host(HostPlan Plan, std::string Folder)
      : Plan_(std::move(Plan)), Folder_(std::move(Folder)) {
    start();
  }
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;
  ~Host() { kill(); }

  void start() {
    const std::string Settings = Folder_ + "/" + Plan_.Name_ + "-boot.toml";
    const std::string Log = Folder_ + "/" + Plan_.Name_ + ".log";
    std::ifstream Template("deploy/lycheed.ini");
    std::stringstream Text;
    Text << Template.rdbuf();
    if (Text.str().empty()) {
      std::fprintf(stderr, "deploy/lycheed.ini cannot be read\n");
      std::exit(2);
    }
    std::ofstream(Settings) << render(Text.str(), fieldsOf(Plan_));
    Process_ = fork();
    if (Process_ != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out = ::open(Log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    ::setenv("LYCHEESPOKE_SETTINGS", Settings.c_str(), 1);
    ::execl("target/bin/lycheed", "target/bin/lycheed", "--settings",
            Settings.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
  }
  void signal(int Number) const {
    if (Process_ > 0)
      ::kill(Process_, Number);
  }
  void kill() {
    if (Process_ <= 0)
      return;
    ::kill(Process_, SIGCONT);
    ::kill(Process_, SIGKILL);
    ::waitpid(std::exchange(Process_, -1), nullptr, 0);
  }
  /// \returns whether the process has ended by itself.
  bool hasEnded() {
    if (Process_ <= 0 || ::waitpid(Process_, nullptr, WNOHANG) == 0)
      return false;
    Process_ = -1;
    return true;
  }
  const HostPlan &plan() const { return Plan_; }
  /// \returns the status of GET /readyz; 0: no answer.
  int readyStatus() const {
    const int Handle = connectTo(Plan_.ready(), 500);
    if (Handle < 0)
      return 0;
    Connection Peer(Handle);
    Peer.setTimeout(1000);
    Head Answer;
    return Peer.write("GET /readyz HTTP/1.1\r\nHost: " + Plan_.Ip_ +
                      "\r\n\r\n") &&
                   Peer.readHead(Answer)
               ? Answer.status()
               : 0;
  }
  bool awaitReady(int TimeoutMs) const {
    const double End = nowMs() + TimeoutMs;
    while (nowMs() < End) {
      if (readyStatus() == 200)
        return true;
      sleepMs(50);
    }
    return false;
  }

private:
  const HostPlan Plan_;
  const std::string Folder_;
  pid_t Process_ = -1;
};

} // namespace review

#endif
