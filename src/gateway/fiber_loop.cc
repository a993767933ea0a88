#include "gateway/fiber_loop.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

// Beast's parsers and the JSON parser use less than half of it; pages that are
// never touched take no memory.
constexpr std::size_t kStackBytes = 65536;
constexpr std::size_t kStacksPerChunk = 8;
constexpr std::chrono::milliseconds kDutyRestartPause{100};

// Runs ready fibers in round-robin order; while none is ready, waits in the
// event loop.
class LoopScheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit LoopScheduler(std::shared_ptr<boost::asio::io_context> shared)
      : context(std::move(shared)),
        work(boost::asio::make_work_guard(*this->context)) {}

  void awakened(boost::fibers::context* fiber) noexcept override {
    fiber->ready_link(this->ready);
  }

  boost::fibers::context* pick_next() noexcept override {
    if (this->ready.empty()) {
      return nullptr;
    }
    boost::fibers::context* next = &this->ready.front();
    this->ready.pop_front();
    return next;
  }

  [[nodiscard]] bool has_ready_fibers() const noexcept override {
    return !this->ready.empty();
  }

  void suspend_until(
      const std::chrono::steady_clock::time_point& time) noexcept override {
    if (time == std::chrono::steady_clock::time_point::max()) {
      this->context->run_one();
    } else {
      this->context->run_one_until(time);
    }
    // Runs all handlers that are ready, so that one wait can wake several
    // fibers.
    this->context->poll();
  }

  void notify() noexcept override {
    boost::asio::post(*this->context, [] {});
  }

 private:
  std::shared_ptr<boost::asio::io_context> context;
  boost::asio::executor_work_guard<Executor> work;
  boost::fibers::scheduler::ready_queue_type ready;
};

// Runs `body`; logs an exception that leaves it and returns false.
bool RunGuarded(std::string_view name, const std::function<void()>& body) {
  try {
    body();
    return true;
  } catch (const std::exception& error) {
    LogError("fiber_failed", {{"fiber", name}, {"error", error.what()}});
    return false;
  }
}

}  // namespace

FiberLoop::FiberLoop()
    : context(std::make_shared<boost::asio::io_context>(1)),
      stacks(kStackBytes, kStacksPerChunk) {
  boost::fibers::use_scheduling_algorithm<LoopScheduler>(this->context);
}

void FiberLoop::Spawn(std::function<void()> body) {
  boost::fibers::fiber(
      boost::fibers::launch::post, std::allocator_arg, this->stacks,
      [body = std::move(body)] { (void)RunGuarded("once", body); })
      .detach();
}

void FiberLoop::SpawnDuty(std::string name, std::function<void()> body) {
  this->Spawn([name = std::move(name), body = std::move(body)] {
    while (!RunGuarded(name, body)) {
      boost::this_fiber::sleep_for(kDutyRestartPause);
    }
  });
}

bool FiberSignal::WaitFor(Duration duration) {
  std::unique_lock lock(this->mutex);
  const std::uint64_t before = this->changes;
  return this->condition.wait_for(lock, duration,
                                  [&] { return this->changes != before; });
}

}  // namespace pimentospar
