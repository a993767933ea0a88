#ifndef REVIEW_STANDIN_GATEWAY_H_
#define REVIEW_STANDIN_GATEWAY_H_

#include <sys/types.h>

#include <atomic>
#include <string>

#include "net.h"

namespace review {

/// Settings of one entry host, as the platform would fill them in.
struct GatewayOptions {
  std::string host;
  std::string ip;
  std::string zone = "z-a";
  Address store;
  /// Folder for the settings file and the output.
  std::string folder;
};

/// One process of the gateway, started by the command of the deploy file in the
/// root of the repository.
class Gateway {
 public:
  Gateway(Record& record, GatewayOptions options);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  /// Kills the process.
  ~Gateway();

  void Start();
  /// Sends a signal to the process.
  void Signal(int number) const;
  /// Kills the process and waits for its end.
  void Kill();
  /// Returns whether the process has ended by itself.
  [[nodiscard]] bool HasEnded();
  /// Waits until the host reports itself ready; returns false after 10 s.
  [[nodiscard]] bool AwaitReady() const;
  [[nodiscard]] const Address& Where() const { return this->front; }
  /// Returns the resident memory of the process in kB.
  [[nodiscard]] long MemoryKb() const;

 private:
  void WriteSettings() const;

  Record& record;
  GatewayOptions options;
  Address front;
  Address ready;
  Address entry;
  pid_t pid = -1;
};

/// Ends this program with exit code 2: the case could not run.
[[noreturn]] void CannotRun(const std::string& reason);
/// Ends this program without destructors, since detached threads still use the
/// stand-ins.
[[noreturn]] void End(int code);
/// Returns whether the case runs with its disruption.
[[nodiscard]] bool HasTrouble();
/// Returns the value of an environment variable, which must be set.
[[nodiscard]] std::string Setting(const char* name);

}  // namespace review

#endif  // REVIEW_STANDIN_GATEWAY_H_
