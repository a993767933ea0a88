#ifndef REVIEW_STANDIN_2_PLATFORM_H_
#define REVIEW_STANDIN_2_PLATFORM_H_

#include <sys/types.h>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "net.h"

/// The platform: its metadata store, and the gateways that it starts.
namespace standin {

/// The metadata store in the form of a log: appends, reads with a wait, and the
/// newest record of each key. Loses nothing.
class Store {
 public:
  Store();
  int Port() const { return this->server->Port(); }
  /// Writes a keyed record, as runners and the operator do; an empty value
  /// removes the key. Returns when the store has acknowledged it.
  long PutKeyed(const std::string& topic,
                const std::string& key,
                const std::string& value);
  void Stop() { this->server->Stop(); }

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::size_t> newest;
  };

  bool Handle(const Message& request, Channel& channel);
  std::string Read(const std::string& topic, std::size_t from, long wait_ms);
  std::string Newest(const std::string& topic);
  std::size_t Append(const std::string& topic, const std::string& record);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
  std::unique_ptr<Server> server;
};

/// Settings of one gateway that differ between the cases.
struct GatewaySettings {
  std::string name;
  std::string zone = "zone-a";
  double processor_share = 0.19;
};

/// One process of the gateway, started as the deploy file says.
class Gateway {
 public:
  Gateway(const GatewaySettings& settings, int store_port);
  ~Gateway() { this->Kill(); }
  /// Starts the process; exits the program with 2 if that fails.
  void Start();
  /// Returns whether GET /api/ready answers 200.
  bool IsReady() const;
  bool AwaitReady(long timeout_ms) const;
  /// Returns whether the process has logged a line with this text.
  bool HasLogged(const std::string& text) const;
  void Signal(int number) const;
  /// Ends the process and waits for it.
  void Kill();
  /// Returns the exit status if the process has ended by itself.
  std::optional<int> Ended();
  int Port() const { return this->caller_port; }
  const std::string& Name() const { return this->settings.name; }

 private:
  GatewaySettings settings;
  int caller_port;
  int ready_port;
  std::string folder;
  pid_t process = 0;
};

/// Ends the processes of all gateways, also for a program that exits early.
void KillAllGateways();

/// The temporary folder of this run; removed at the end.
const std::string& TemporaryFolder();
void RemoveTemporaryFolder();

}  // namespace standin

#endif  // REVIEW_STANDIN_2_PLATFORM_H_
