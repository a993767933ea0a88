#ifndef SRC_NET_FIBER_THREAD_H_
#define SRC_NET_FIBER_THREAD_H_

#include <atomic>
#include <boost/fiber/buffered_channel.hpp>
#include <functional>
#include <thread>

namespace pimentospar {

/// A thread that runs each task in a fiber of its own; tasks reach it through a
/// bounded ring.
class FiberThread {
 public:
  using Task = std::function<void()>;

  /// `queue_capacity` is a power of two; `max_fibers` bounds the tasks that run
  /// at once.
  FiberThread(std::size_t queue_capacity, std::size_t max_fibers);
  FiberThread(const FiberThread&) = delete;
  FiberThread& operator=(const FiberThread&) = delete;
  ~FiberThread() { this->Stop(); }

  /// Returns false if the ring is full, too many tasks run, or the thread is
  /// stopping.
  [[nodiscard]] bool TryRun(Task task);

  /// Takes no new task, waits for those that run, and ends the thread.
  void Stop();

  [[nodiscard]] std::size_t Running() const { return this->running.load(); }

 private:
  void Loop();

  boost::fibers::buffered_channel<Task> queue;
  std::size_t max_fibers;
  std::atomic<std::size_t> running = 0;
  std::thread thread;
};

}  // namespace pimentospar

#endif  // SRC_NET_FIBER_THREAD_H_
