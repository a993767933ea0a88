#include "net/fiber_thread.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <exception>
#include <memory>
#include <utility>

#include "net/log_line.h"

namespace pimentospar {

namespace {

// JSON parsing and HTTP formatting without TLS stay well below this.
constexpr std::size_t kStackBytes = std::size_t{128} * 1024;

}  // namespace

FiberThread::FiberThread(std::size_t queue_capacity, std::size_t max_fibers)
    : queue(queue_capacity),
      max_fibers(max_fibers),
      thread([this] { this->Loop(); }) {}

bool FiberThread::TryRun(Task task) {
  if (this->running.fetch_add(1) >= this->max_fibers ||
      this->queue.try_push(std::move(task)) !=
          boost::fibers::channel_op_status::success) {
    this->running.fetch_sub(1);
    return false;
  }
  return true;
}

void FiberThread::Stop() {
  this->queue.close();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void FiberThread::Loop() {
  boost::fibers::fixedsize_stack stacks(kStackBytes);
  Task task;
  while (this->queue.pop(task) == boost::fibers::channel_op_status::success) {
    boost::fibers::fiber(std::allocator_arg, stacks,
                         [this, run = std::move(task)] {
                           try {
                             run();
                           } catch (const std::exception& error) {
                             LogError("task_failed", {{"error", error.what()}});
                           }
                           this->running.fetch_sub(1);
                         })
        .detach();
    task = nullptr;
  }
  while (this->running.load() > 0) {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
  }
}

}  // namespace pimentospar
