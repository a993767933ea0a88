#ifndef SRC_NET_HELD_SIGNALS_H_
#define SRC_NET_HELD_SIGNALS_H_

#include <csignal>

namespace pimentospar {

/// The signals that a program handles itself. They are held back from the
/// construction of this object until `Release`, since a signal that arrives
/// before its handler is installed ends the process. Signals that were held
/// back are then delivered.
class HeldSignals {
 public:
  HeldSignals() {
    sigemptyset(&this->signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
      sigaddset(&this->signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
  }
  HeldSignals(const HeldSignals&) = delete;
  HeldSignals& operator=(const HeldSignals&) = delete;

  void Release() const {
    pthread_sigmask(SIG_UNBLOCK, &this->signals, nullptr);
  }
  [[nodiscard]] const sigset_t& Set() const { return this->signals; }

 private:
  sigset_t signals{};
};

}  // namespace pimentospar

#endif  // SRC_NET_HELD_SIGNALS_H_
