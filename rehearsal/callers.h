#ifndef REHEARSAL_CALLERS_H_
#define REHEARSAL_CALLERS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "rehearsal/history.h"

namespace pimentospar::rehearsal {

struct CallersOptions {
  std::vector<Address> entries;
  std::vector<std::string> models;
  std::string token;
  std::string service = "booking";
  std::uint64_t seed = 1;
  unsigned callers = 12;
  std::chrono::milliseconds time{10'000};
};

/// Sends a seeded mix of requests from concurrent fibers and writes the
/// history. Everything runs on the calling thread.
class Callers {
 public:
  Callers(HttpClient& http, std::ostream& history, CallersOptions options);

  /// Sends requests until the time is over and every call has ended.
  void Run();

  /// Asks each model through each entry until it answers or the time is over;
  /// returns whether all answered.
  [[nodiscard]] bool Probe();

 private:
  using Key = std::pair<std::string, std::string>;

  void SendOne();
  void SendChat(bool stream);
  void SendIdempotent();
  void SendNewKey();
  void SendRepeat();
  /// Sends a key once, or again while the outcome is not known.
  void SendKey(std::size_t entry,
               const std::string& key,
               const std::string& body);

  [[nodiscard]] Call NewChat(CallKind kind,
                             std::size_t entry,
                             const std::string& model);
  [[nodiscard]] Call NewOperation(std::size_t entry,
                                  const std::string& key,
                                  const std::string& body);
  /// Sends a call, records it and returns it with its end.
  Call Send(Call call, std::size_t entry);

  std::uint64_t Below(std::uint64_t bound) { return this->random() % bound; }
  void Pause(std::uint64_t from_ms, std::uint64_t to_ms);

  HttpClient& http;
  std::ostream& history;
  CallersOptions options;
  std::mt19937_64 random;
  std::uint64_t next_call;
  std::uint64_t next_name = 1;
  std::deque<Key> recent;
};

}  // namespace pimentospar::rehearsal

#endif  // REHEARSAL_CALLERS_H_
