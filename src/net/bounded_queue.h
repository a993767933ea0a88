#ifndef SRC_NET_BOUNDED_QUEUE_H_
#define SRC_NET_BOUNDED_QUEUE_H_

#include <boost/circular_buffer.hpp>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace pimentospar {

/// Bounded queue of items for a thread that runs an event loop. `notify` is
/// called after each push and makes the loop pop the items.
template <typename T>
class BoundedQueue {
 public:
  BoundedQueue(std::size_t capacity, std::function<void()> notify)
      : items(capacity), notify(std::move(notify)) {}

  /// Returns false and adds nothing if the queue is full or closed.
  [[nodiscard]] bool TryPush(T item) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->items.full()) {
        return false;
      }
      this->items.push_back(std::move(item));
    }
    this->notify();
    return true;
  }

  [[nodiscard]] std::vector<T> PopAll() {
    const std::lock_guard lock(this->mutex);
    std::vector<T> popped(std::make_move_iterator(this->items.begin()),
                          std::make_move_iterator(this->items.end()));
    this->items.clear();
    return popped;
  }

  void Close() {
    const std::lock_guard lock(this->mutex);
    this->closed = true;
  }

 private:
  std::mutex mutex;
  boost::circular_buffer<T> items;
  bool closed = false;
  std::function<void()> notify;
};

}  // namespace pimentospar

#endif  // SRC_NET_BOUNDED_QUEUE_H_
