#ifndef SRC_NET_FIBER_THREAD_H_
#define SRC_NET_FIBER_THREAD_H_

#include <atomic>
#include <boost/fiber/buffered_channel.hpp>
#include <functional>
#include <thread>

namespace pimentospar {

/// A thread that runs each task in its own fiber. Other threads submit tasks
/// through a bounded queue.
class FiberThread {
 public:
  using Task = std::function<void()>;

  /// `queue_capacity` is a power of two; `max_fibers` bounds the number of
  /// tasks that are queued or running.
  FiberThread(std::size_t queue_capacity, std::size_t max_fibers);
  FiberThread(const FiberThread&) = delete;
  FiberThread& operator=(const FiberThread&) = delete;
  ~FiberThread() { this->Stop(); }

  /// Returns false if the queue is full, too many tasks are active, or the
  /// thread is stopping.
  [[nodiscard]] bool TryRun(Task task);

  /// Rejects new tasks, waits for the active ones, and joins the thread.
  void Stop();

  /// Returns the number of tasks that are queued or running.
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
