#ifndef REVIEW_STANDIN_RUNNER_H_
#define REVIEW_STANDIN_RUNNER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>

#include "net.h"
#include "store.h"

namespace review {

/// Settings of a runner.
struct RunnerOptions {
  std::string id;
  std::string ip;
  std::string service;
  std::string zone = "z-a";
  int slots = 64;
  /// The model that it holds; empty for a service without an engine.
  std::string model;
  /// 0 for any free port.
  std::uint16_t port = 0;
  /// When it started, in Unix milliseconds.
  std::int64_t born = UnixMs();
};

/// Returns what a runner at `address` says of itself in the store.
[[nodiscard]] std::string Registration(const RunnerOptions& options,
                                       const Address& address,
                                       const std::string& state);

/// A runner: registers itself, answers reports and orders, and passes requests
/// to a function. In a process of its own it has no store, and is registered by
/// the process that has it.
class Runner {
 public:
  /// Answers one request; returns false if the connection must be closed. May
  /// write the answer in parts.
  using Handler = std::function<bool(const Request&, Connection&)>;

  Runner(Store* store, Record& record, RunnerOptions options, Handler handler);

  [[nodiscard]] const Address& Where() const { return this->address; }
  [[nodiscard]] const std::string& Id() const { return this->options.id; }
  /// Registers the runner now and, until `Stop`, with each heartbeat.
  void Start();
  [[nodiscard]] bool IsLeaving() const { return this->leaving; }
  /// Writes one registration.
  void Register(const std::string& state);
  /// Removes the registration.
  void Unregister();
  /// Says in the store and in all answers that the runner leaves.
  void Leave();
  /// Ends the runner: it answers nothing, and its registration is removed.
  void End();
  /// Starts the runner again, at the same address and under the same id.
  void StartAgain();

 private:
  void Accept(int listener);
  void Serve(int file);
  /// Returns false if the connection must be closed.
  bool ServeRequest(const Request& request, Connection& connection);
  void Beat();
  [[nodiscard]] std::string Report() const;

  Store* store;
  Record& record;
  RunnerOptions options;
  Handler handler;
  Address address;
  std::atomic<bool> beating = false;
  std::atomic<bool> leaving = false;
  std::atomic<bool> ended = false;
  std::mutex mutex;
  /// The connections that are open.
  std::set<const Connection*> connections;
};

/// Returns a complete answer to `request` with the headers of a run.
[[nodiscard]] std::string Answer(const Request& request,
                                 int status,
                                 const std::string& body);
/// Returns the head of an answer to `request` up to the empty line, for a body
/// that `framing` describes.
[[nodiscard]] std::string AnswerHead(const Request& request,
                                     int status,
                                     const std::string& framing);
/// Returns one chunk of a chunked body.
[[nodiscard]] std::string Chunk(const std::string& data);
/// Returns one event of a stream.
[[nodiscard]] std::string Event(int id);

}  // namespace review

#endif  // REVIEW_STANDIN_RUNNER_H_
