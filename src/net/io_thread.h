#ifndef SRC_NET_IO_THREAD_H_
#define SRC_NET_IO_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace pimentospar {

/// The thread that runs the Asio event loop, on which the sockets of the HTTP
/// servers and clients are used.
class IoThread {
 public:
  IoThread()
      : guard(boost::asio::make_work_guard(this->context)),
        thread([this] { this->context.run(); }) {}
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;
  ~IoThread() { this->Stop(); }

  [[nodiscard]] boost::asio::io_context& Context() { return this->context; }

  /// Stops the loop without waiting for pending operations and joins the
  /// thread.
  void Stop() {
    this->guard.reset();
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard;
  std::thread thread;
};

}  // namespace pimentospar

#endif  // SRC_NET_IO_THREAD_H_
