#ifndef SRC_RPC_RPC_THREAD_H_
#define SRC_RPC_RPC_THREAD_H_

#include <kj/async-io.h>

#include <functional>
#include <future>
#include <mutex>
#include <thread>

#include "net/bounded_queue.h"

namespace pimentospar {

/// The thread that runs the Cap'n Proto event loop. Other threads submit tasks
/// through a bounded queue.
class RpcThread {
 public:
  /// Runs on the event loop; must not block.
  using Task = std::function<void(kj::AsyncIoContext&)>;

  explicit RpcThread(std::size_t queue_capacity);
  RpcThread(const RpcThread&) = delete;
  RpcThread& operator=(const RpcThread&) = delete;
  ~RpcThread() { this->Stop(); }

  /// Returns false if the queue is full or the thread is stopping.
  [[nodiscard]] bool TryRun(Task task) {
    return this->queue.TryPush(std::move(task));
  }

  /// Runs a promise in the background and logs its failure. Call it on the
  /// event loop only.
  void Detach(kj::Promise<void> promise);

  /// Registers an action that runs on the event loop before it ends, for
  /// objects that must be destroyed there. Call it on the event loop only.
  void OnStop(std::function<void()> action) {
    this->stop_actions.push_back(std::move(action));
  }

  /// Stops the event loop and joins the thread.
  void Stop();

 private:
  class ErrorLogger;

  void Loop(std::promise<void>& started);
  void Wake();
  kj::Promise<void> RunTasks();

  BoundedQueue<Task> queue;
  std::mutex mutex;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_fulfiller;
  bool woken = false;
  bool stopping = false;
  kj::AsyncIoContext* context = nullptr;
  kj::TaskSet* tasks = nullptr;
  std::vector<std::function<void()>> stop_actions;
  std::thread thread;
};

}  // namespace pimentospar

#endif  // SRC_RPC_RPC_THREAD_H_
