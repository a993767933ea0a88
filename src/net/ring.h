#ifndef SRC_NET_RING_H_
#define SRC_NET_RING_H_

#include <boost/circular_buffer.hpp>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace pimentospar {

/// Bounded queue into a thread that runs an event loop; `wake` makes that loop
/// take the items.
template <typename T>
class Ring {
 public:
  Ring(std::size_t capacity, std::function<void()> wake)
      : items(capacity), wake(std::move(wake)) {}

  /// Returns false, and leaves the ring as it is, if the ring is full or
  /// closed.
  [[nodiscard]] bool TryPush(T item) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->items.full()) {
        return false;
      }
      this->items.push_back(std::move(item));
    }
    this->wake();
    return true;
  }

  [[nodiscard]] std::vector<T> TakeAll() {
    const std::lock_guard lock(this->mutex);
    std::vector<T> taken(std::make_move_iterator(this->items.begin()),
                         std::make_move_iterator(this->items.end()));
    this->items.clear();
    return taken;
  }

  void Close() {
    const std::lock_guard lock(this->mutex);
    this->closed = true;
  }

 private:
  std::mutex mutex;
  boost::circular_buffer<T> items;
  bool closed = false;
  std::function<void()> wake;
};

}  // namespace pimentospar

#endif  // SRC_NET_RING_H_
