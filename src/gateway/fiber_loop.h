#ifndef SRC_GATEWAY_FIBER_LOOP_H_
#define SRC_GATEWAY_FIBER_LOOP_H_

#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <string>

#include "pimentospar/clock.h"

namespace pimentospar {

// Sockets with a concrete executor type avoid the type erasure of
// any_io_executor.
using Executor = boost::asio::io_context::executor_type;
using Tcp = boost::asio::ip::tcp;
using TcpSocket = boost::asio::basic_stream_socket<Tcp, Executor>;
using TcpAcceptor = boost::asio::basic_socket_acceptor<Tcp, Executor>;
using UdpSocket =
    boost::asio::basic_datagram_socket<boost::asio::ip::udp, Executor>;
using boost::system::error_code;

/// Runs fibers and an event loop on the calling thread: while no fiber is
/// ready, the thread waits for events.
///
/// Fibers and I/O share one thread, unlike in the daemon with its threads and
/// ring buffers: a host of the platform has a fifth of a CPU core, and each
/// hand-over between threads costs two wake-ups.
class FiberLoop {
 public:
  /// Installs this loop as the fiber scheduler of the calling thread; at most
  /// once per thread.
  FiberLoop();
  FiberLoop(const FiberLoop&) = delete;
  FiberLoop& operator=(const FiberLoop&) = delete;

  [[nodiscard]] boost::asio::io_context& Context() { return *this->context; }

  /// Starts a detached fiber. An exception that leaves `body` is logged and
  /// ends only this fiber.
  void Spawn(std::function<void()> body);
  /// Starts a detached fiber for work that goes on until the process exits. If
  /// an exception leaves `body`, it is logged, and `body` runs again after a
  /// pause.
  void SpawnDuty(std::string name, std::function<void()> body);

 private:
  /// Shared with the scheduler, which lives until the thread exits.
  std::shared_ptr<boost::asio::io_context> context;
  boost::fibers::pooled_fixedsize_stack stacks;
};

/// Result of an asynchronous I/O operation.
struct IoResult {
  error_code error;
  std::size_t bytes = 0;
  [[nodiscard]] bool IsGood() const { return !this->error; }
};

namespace detail {

struct AwaitState {
  IoResult result;
  bool done = false;
  boost::fibers::context* waiter = nullptr;

  void Finish(error_code error, std::size_t bytes) {
    this->result = {error, bytes};
    this->done = true;
    if (this->waiter != nullptr) {
      boost::fibers::context::active()->schedule(this->waiter);
    }
  }

  void Wait() {
    if (this->done) {
      return;
    }
    this->waiter = boost::fibers::context::active();
    this->waiter->suspend();
  }
};

}  // namespace detail

/// Starts an operation with a completion handler and suspends the fiber until
/// the handler is called.
///
///     IoResult sent = Await([&](auto handler) {
///       boost::asio::async_write(socket, buffer, std::move(handler));
///     });
template <typename Start>
IoResult Await(Start&& start) {
  detail::AwaitState state;
  start([&state](error_code error, std::size_t bytes = 0) {
    state.Finish(error, bytes);
  });
  state.Wait();
  return state.result;
}

/// Lets fibers wait for a change and wakes them when it happens.
class FiberSignal {
 public:
  void NotifyAll() {
    ++this->changes;
    this->condition.notify_all();
  }
  /// Waits for the next `NotifyAll`; returns false if there is none within
  /// `duration`.
  bool WaitFor(Duration duration);

 private:
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable condition;
  std::uint64_t changes = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_FIBER_LOOP_H_
