#include "gateway/selection_queue.h"

#include <boost/fiber/operations.hpp>
#include <utility>

namespace pimentospar {

namespace {

// Loads at targets change without a signal, so requests try again this often.
constexpr std::chrono::milliseconds kRoundInterval{100};
constexpr std::chrono::milliseconds kStopPollInterval{2};
// A wait ends by a turn, a removal or an interruption; this only bounds it.
constexpr std::chrono::milliseconds kMaxWaitInterval{1000};

}  // namespace

SelectionQueue::SelectionQueue(FiberLoop& loop,
                               const Clock& clock,
                               RandomSource& random,
                               FiberSignal& targets_changed,
                               Metrics& metrics,
                               bool always_enabled,
                               const EntryQueueOptions& options)
    : loop(loop),
      clock(clock),
      targets_changed(targets_changed),
      metrics(metrics),
      always_enabled(always_enabled),
      queue(clock, random, options) {}

SelectionQueue::~SelectionQueue() {
  this->stopping = true;
  while (this->observing) {
    this->targets_changed.NotifyAll();
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
}

bool SelectionQueue::IsEnabled(const RouteTable* table) const {
  return this->always_enabled ||
         (table != nullptr && !table->Config().workspaces.empty());
}

void SelectionQueue::OnAttemptEnd(const ServiceId& service) {
  if (this->queue.Waiting(service) == 0) {
    return;
  }
  this->queue.StartRound(service);
  this->Advance(service);
}

void SelectionQueue::BeginDrain() {
  this->queue.BeginDrain();
  this->OnRemoved();
}

void SelectionQueue::OnRemoved() {
  for (const RemovedRequest& removed : this->queue.TakeRemoved()) {
    const auto found = this->waiters.find(removed.ticket);
    if (found == this->waiters.end()) {
      continue;
    }
    if (removed.refusal.cause == QueueRefusalCause::kEvicted) {
      this->metrics.Count(CountedEvent::kQueueEvicted);
    }
    found->second->refusal = removed.refusal;
    found->second->changed.NotifyAll();
  }
  this->UpdateGauges();
}

void SelectionQueue::UpdateGauges() {
  this->metrics.SetWaiting(this->queue.Waiting(), this->queue.WaitingBytes());
}

void SelectionQueue::EndTurn(QueueTicket ticket, const ServiceId& service) {
  const auto turn = this->turns.find(service);
  if (turn != this->turns.end() && turn->second == ticket) {
    this->turns.erase(turn);
  }
  this->Advance(service);
}

void SelectionQueue::Advance(const ServiceId& service) {
  if (this->turns.contains(service)) {
    return;
  }
  const auto next = this->queue.NextTurn(service);
  if (!next) {
    return;
  }
  this->turns[service] = *next;
  Waiter& waiter = *this->waiters.at(*next);
  waiter.has_turn = true;
  waiter.changed.NotifyAll();
}

void SelectionQueue::StartRounds() {
  this->queue.RemoveExpired();
  this->OnRemoved();
  for (const ServiceId& service : this->queue.WaitingServices()) {
    // A request that has selected keeps its turn until it is sent; a slow
    // connection does not hold up the others.
    const auto turn = this->turns.find(service);
    if (turn != this->turns.end() &&
        this->queue.Find(turn->second) == nullptr) {
      this->turns.erase(turn);
    }
    this->queue.StartRound(service);
    this->Advance(service);
  }
}

// Runs while requests wait.
void SelectionQueue::ObserveTargets() {
  if (this->observing) {
    return;
  }
  this->observing = true;
  this->loop.Spawn([this] {
    while (!this->stopping && this->queue.Waiting() > 0) {
      (void)this->targets_changed.WaitFor(kRoundInterval);
      if (!this->stopping) {
        this->StartRounds();
      }
    }
    this->observing = false;
  });
}

QueuePlace::QueuePlace(SelectionQueue& queue, EntryRequest request)
    : queue(queue),
      request(std::move(request)),
      waiting_since(queue.clock.Now()) {
  const QueueDecision decision = queue.queue.Offer(this->request);
  if (const auto* refused = std::get_if<QueueRefusal>(&decision)) {
    queue.metrics.Count(CountedEvent::kQueueRefused);
    this->waiter.refusal = *refused;
  } else {
    this->ticket = std::get<QueueTicket>(decision);
    queue.waiters[*this->ticket] = &this->waiter;
  }
  queue.OnRemoved();
}

QueuePlace::~QueuePlace() {
  if (!this->ticket) {
    return;
  }
  if (this->queue.queue.Find(*this->ticket) != nullptr) {
    this->RecordTime();
  }
  this->queue.waiters.erase(*this->ticket);
  this->queue.queue.Cancel(*this->ticket);
  this->queue.UpdateGauges();
  this->queue.EndTurn(*this->ticket, this->request.service);
}

QueueWaitResult QueuePlace::WaitForTurn() {
  if (this->ticket && !this->waiter.refusal) {
    if (std::exchange(this->waiter.has_turn, false)) {
      this->queue.queue.OnBlocked(*this->ticket);
      this->queue.EndTurn(*this->ticket, this->request.service);
    } else {
      this->queue.Advance(this->request.service);
    }
    this->queue.ObserveTargets();
    if (!this->waiter.has_turn) {
      (void)this->waiter.changed.WaitFor(kMaxWaitInterval);
    }
  }
  if (this->waiter.refusal) {
    return *this->waiter.refusal;
  }
  return this->waiter.has_turn ? QueueWaitResult(TurnGranted{})
                               : QueueWaitResult(WaitInterrupted{});
}

void QueuePlace::OnSelected() {
  if (this->ticket) {
    this->RecordTime();
    this->queue.queue.OnSelected(*this->ticket);
    this->queue.UpdateGauges();
  }
}

void QueuePlace::RecordTime() {
  this->queue.metrics.RecordQueueTime(this->queue.clock.Now() -
                                      this->waiting_since);
}

void QueuePlace::Interrupt() {
  this->waiter.changed.NotifyAll();
}

}  // namespace pimentospar
