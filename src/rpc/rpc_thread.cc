#include "rpc/rpc_thread.h"

#include "net/log_line.h"

namespace pimentospar {

class RpcThread::ErrorLogger final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& exception) override {
    LogDebug("rpc_task_failed", {{"error", exception.getDescription().cStr()}});
  }
};

RpcThread::RpcThread(std::size_t queue_capacity)
    : queue(queue_capacity, [this] { this->Wake(); }) {
  std::promise<void> started;
  auto ready = started.get_future();
  this->thread = std::thread([this, &started] { this->Loop(started); });
  ready.get();
}

void RpcThread::Wake() {
  const std::lock_guard lock(this->mutex);
  this->woken = true;
  if (this->wake_fulfiller.get() != nullptr) {
    this->wake_fulfiller->fulfill();
    this->wake_fulfiller = nullptr;
  }
}

void RpcThread::Detach(kj::Promise<void> promise) {
  this->tasks->add(kj::mv(promise));
}

void RpcThread::Stop() {
  this->queue.Close();
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->Wake();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

kj::Promise<void> RpcThread::RunTasks() {
  for (Task& task : this->queue.PopAll()) {
    task(*this->context);
  }
  const std::lock_guard lock(this->mutex);
  if (this->stopping) {
    return kj::READY_NOW;
  }
  if (this->woken) {
    this->woken = false;
    return kj::evalLater([this] { return this->RunTasks(); });
  }
  auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
  this->wake_fulfiller = kj::mv(pair.fulfiller);
  return pair.promise.then([this] {
    {
      const std::lock_guard guard(this->mutex);
      this->woken = false;
    }
    return this->RunTasks();
  });
}

void RpcThread::Loop(std::promise<void>& started) {
  auto io = kj::setupAsyncIo();
  ErrorLogger error_logger;
  {
    kj::TaskSet task_set(error_logger);
    this->context = &io;
    this->tasks = &task_set;
    started.set_value();
    this->RunTasks().wait(io.waitScope);
    for (const auto& action : this->stop_actions) {
      action();
    }
    this->stop_actions.clear();
  }
}

}  // namespace pimentospar
