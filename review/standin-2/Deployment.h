#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include "Net.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

/// Addresses of one play: a part of 127.0.0.0/8 of its own, and ports that were
/// free when it began.
struct Places {
  std::string Net_;
  int Port_ = 0;

  std::string host(int Index) const { return Net_ + std::to_string(1 + Index); }
  std::string store() const { return Net_ + "99"; }
  std::string endpoint(int Index) const {
    return Net_ + std::to_string(150 + Index);
  }

  static Places choose() {
    std::random_device Random;
    while (true) {
      Places Made;
      Made.Net_ = "127." + std::to_string(20 + Random() % 200) + "." +
                  std::to_string(1 + Random() % 250) + ".";
      Made.Port_ = 20000 + static_cast<int>(Random() % 9000);
      bool AllFree = true;
      for (int Each = 0; Each < 36 && AllFree; ++Each) {
        const int Probe = listenAt(Made.host(0), Made.Port_ + Each);
        AllFree = Probe >= 0;
        if (Probe >= 0)
          close(Probe);
      }
      if (AllFree)
        return Made;
    }
  }
};

/// Ports of a host, counted from Places::Port_.
enum Ports {
  Front,
  Ready,
  Control,
  Directory,
  Metrics,
  StorePort,
  EndpointPort,
  /// The first and the last of internalPorts.
  Heartbeats = 20,
  Relays = 35
};

/// One lycheed, started with the command of the deploy file and the settings
/// that its template makes of a small site's file.
class Host {
public:
  Host(const Places &At, int Index, std::string Name, std::string Zone,
       std::string Region,
       std::vector<std::pair<std::string, std::string>> Zones, int Seeds,
       std::string Folder)
      : At_(At), Index_(Index), Name_(std::move(Name)),
        Path_(Folder + "/" + Name_ + ".boot"),
        Log_(Folder + "/" + Name_ + ".log") {
    std::ofstream Into(Path_);
    Into
        << "[host]\nname = " << Name_ << "\nregion = " << Region
        << "\nzone = " << Zone << "\nthreads = 1\ndescriptors = 4100\n"
        << "source = " << ip() << "\n[callers]\nlisten = " << at(Front)
        << "\nidle_timeout = 17s\nheader_timeout = 3s\nprogress_timeout = 20s\n"
        << "[metrics]\nlisten = " << at(Metrics)
        << "\n[store]\naddress = " << At.store() << ":" << At.Port_ + StorePort
        << "\ntimeout = 1s\n"
        << "[log]\nlevel = info\n[live]\ndirectory = " << at(Directory)
        << "\nreadiness = " << at(Ready) << "\nheartbeats = " << at(Heartbeats)
        << "\nrelays = " << at(Relays) << "\nseeds =";
    for (int Each = 0; Each < Seeds; ++Each)
      Into << " " << At.host(Each) << ":" << At.Port_ + Control;
    Into << "\n";
    for (const char *Bound : {"seedLagS=3",
                              "reuseAfterS=2",
                              "stableWindowMs=3000",
                              "ackMs=4000",
                              "catchUpS=4",
                              "drainMs=2500",
                              "graceS=6",
                              "lossSlackMs=200",
                              "configApplyMs=2500",
                              "rollbackSlackMs=250",
                              "maxStretchMs=5000",
                              "strictRevoke=true",
                              "revokeMs=5000",
                              "retryBudgetRatio=0.2",
                              "retryWindowS=10",
                              "retryBudgetSlack=56",
                              "quotaWindowS=5",
                              "quotaOverage=0.1",
                              "quotaSlack=20",
                              "coldOverage=1.5",
                              "coldSlack=5",
                              "evacuateMs=5000",
                              "recoveryS=15",
                              "ttl_max_s=5",
                              "maxShift=0.15"})
      Into << "bound = " << Bound << "\n";
    for (const char *Contract :
         {"base", "drain", "config", "cost", "retry", "recover", "places",
          "tenants", "quota", "platform"})
      Into << "contract = " << Contract << "\n";
    for (const auto &[Each, Where] : Zones)
      Into << "[zone " << Each << "]\nregion = " << Where << "\n";
  }

  bool start(const std::string &Program) {
    Process_ = fork();
    if (Process_ != 0)
      return Process_ > 0;
    // No host outlives the program that started it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out = open(Log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(Out, 1);
    dup2(Out, 2);
    const std::string Settings = "LYCHEESPOKE_SETTINGS=" + Path_;
    const std::string Home = "HOME=/tmp";
    const std::string Search = "PATH=/usr/bin:/bin";
    char *Environment[] = {const_cast<char *>(Settings.c_str()),
                           const_cast<char *>(Home.c_str()),
                           const_cast<char *>(Search.c_str()), nullptr};
    execle(Program.c_str(), Program.c_str(), "--settings", Path_.c_str(),
           static_cast<char *>(nullptr), Environment);
    _exit(127);
  }

  bool isReady() const {
    const TimePoint Limit = after(1);
    const int Handle = connectTo(ip(), At_.Port_ + Ready, Limit);
    if (Handle < 0)
      return false;
    Message Told;
    MessageStream Stream(Handle);
    const bool Came =
        sendAll(Handle, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", Limit) &&
        Stream.read(Told, Limit) == MessageStream::End::Whole;
    close(Handle);
    return Came && Told.status() == 200;
  }

  /// \returns the value of one of the host's metrics, or -1.
  double metric(const std::string &Name) const {
    const TimePoint Limit = after(1);
    const int Handle = connectTo(ip(), At_.Port_ + Metrics, Limit);
    if (Handle < 0)
      return -1;
    Message Told;
    MessageStream Stream(Handle);
    const bool Came =
        sendAll(Handle, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", Limit) &&
        Stream.read(Told, Limit) == MessageStream::End::Whole;
    close(Handle);
    const std::size_t Found = Told.Body_.find("\n" + Name + " ");
    if (!Came || Found == std::string::npos)
      return -1;
    return std::atof(Told.Body_.c_str() + Found + Name.size() + 2);
  }

  bool isRunning() const {
    return Process_ > 0 && waitpid(Process_, nullptr, WNOHANG) == 0;
  }
  void send(int Signal) const {
    if (Process_ > 0)
      kill(Process_, Signal);
  }
  void end() {
    if (Process_ <= 0)
      return;
    kill(Process_, SIGKILL);
    waitpid(Process_, nullptr, 0);
    Process_ = -1;
  }

  std::string ip() const { return At_.host(Index_); }
  int frontPort() const { return At_.Port_ + Front; }
  const std::string &name() const { return Name_; }

private:
  std::string at(int Which) const {
    return ip() + ":" + std::to_string(At_.Port_ + Which);
  }

  const Places At_;
  const int Index_;
  const std::string Name_, Path_, Log_;
  pid_t Process_ = -1;
};

/// What a client sees of one attempt.
struct Outcome {
  /// 0: the connection ended, or the time was over, without an answer.
  int Status_ = 0;
  std::string Seal_, Body_;
  bool Refused_ = false;
};

struct Attempt {
  std::string Method_ = "GET", Path_, Id_, Key_ = "key-1", Body_, Object_;
  int BudgetMs_ = 2000;
};

/// Sends one attempt on a new connection.
inline Outcome ask(const std::string &Ip, int Port, const Attempt &Sent) {
  Outcome Seen;
  const TimePoint Limit = after(Sent.BudgetMs_ / 1000.0);
  const int Handle = connectTo(Ip, Port, std::min(Limit, after(1)));
  if (Handle < 0)
    return Seen;
  std::string Text = Sent.Method_ + " " + Sent.Path_ +
                     " HTTP/1.1\r\nHost: a.example\r\n"
                     "X-Lycheespoke-Request-Id: " +
                     Sent.Id_ + "\r\n";
  if (!Sent.Object_.empty())
    Text += "Cookie: X-Lycheespoke-Affinity-Key=" + Sent.Object_ + "\r\n";
  Text += "X-Lycheespoke-Deadline-Ms: " + std::to_string(Sent.BudgetMs_) +
          "\r\nAuthorization: Bearer " + Sent.Key_ + "\r\n";
  if (Sent.Method_ != "GET")
    Text += "Content-Length: " + std::to_string(Sent.Body_.size()) + "\r\n";
  Message Told;
  MessageStream Stream(Handle);
  if (sendAll(Handle, Text + "\r\n" + Sent.Body_, Limit) &&
      Stream.read(Told, Limit) == MessageStream::End::Whole) {
    Seen.Status_ = Told.status();
    Seen.Seal_ = Told.field("x-lycheespoke-response-seal");
    Seen.Body_ = Told.Body_;
  }
  close(Handle);
  return Seen;
}

} // namespace review

#endif
