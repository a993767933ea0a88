#ifndef SRC_GATEWAY_LISTENER_LIST_H_
#define SRC_GATEWAY_LISTENER_LIST_H_

#include <functional>
#include <list>

namespace pimentospar {

/// Functions that are called when something has happened.
class ListenerList {
 public:
  void NotifyAll() const {
    for (const std::function<void()>& listener : this->listeners) {
      listener();
    }
  }

 private:
  friend class Subscription;

  std::list<std::function<void()>> listeners;
};

/// Keeps a function in a list until it is destroyed.
class Subscription {
 public:
  /// `list` must outlive the subscription. `listener` must not add or remove
  /// subscriptions.
  Subscription(ListenerList& list, std::function<void()> listener)
      : listeners(list.listeners),
        entry(this->listeners.insert(this->listeners.end(),
                                     std::move(listener))) {}
  Subscription(const Subscription&) = delete;
  Subscription& operator=(const Subscription&) = delete;
  ~Subscription() { this->listeners.erase(this->entry); }

 private:
  std::list<std::function<void()>>& listeners;
  std::list<std::function<void()>>::iterator entry;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_LISTENER_LIST_H_
