#include <algorithm>

#include "pimentospar/memory_account.h"

// The part of OrderManager that reads and writes stream `target.<target>`.

namespace pimentospar {

namespace {

// An epoch, which repeats the open intents, is appended four times per
// retention, so that an open intent on the log is never older than half the
// retention.
constexpr int kRenewalsPerRetention = 4;
constexpr std::size_t kSettledPerRecord = 64;

}  // namespace

OrderManager::OrderManager(Options options,
                           const Clock& clock,
                           RandomSource& random)
    : options(options), clock(clock), random(random), account(options.memory) {}

OrderActions OrderManager::Advance() {
  if (!this->superseded) {
    this->StepEngine();
    this->StepLog();
  }
  return std::exchange(this->actions, {});
}

OrderActions OrderManager::Start() {
  this->started = true;
  return this->Advance();
}

OrderActions OrderManager::OnTick() {
  return this->Advance();
}

OrderActions OrderManager::OnRecords(
    std::span<const StoredTargetRecord> records,
    LogOffset next) {
  this->reading = false;
  this->log_backoff = {};
  for (const StoredTargetRecord& stored : records) {
    if (stored.offset >= this->next_offset && !this->superseded) {
      this->ApplyRecord(stored);
    }
  }
  this->next_offset = std::max(this->next_offset, next);
  if (records.empty() && !this->superseded) {
    this->OnTailReached();
  }
  return this->Advance();
}

OrderActions OrderManager::OnReadFailed() {
  this->reading = false;
  this->log_backoff = this->NextBackoff(this->log_backoff);
  this->read_not_before = this->clock.Now() + this->log_backoff;
  return this->Advance();
}

OrderActions OrderManager::OnAppendAnswered(RecordId id, LogOffset offset) {
  this->log_backoff = {};
  // The order is sent only after the stream has been read up to its intent,
  // since another epoch may precede the intent.
  this->read_until = std::max(this->read_until, LogOffset{offset.value + 1});
  if (!this->appends.empty() && this->appends.front().record.id == id) {
    this->appends.pop_front();
  }
  return this->Advance();
}

OrderActions OrderManager::OnAppendUnanswered(RecordId id) {
  if (!this->appends.empty() && this->appends.front().record.id == id) {
    PendingAppend& front = this->appends.front();
    front.sent = false;
    front.needs_tail_check = true;
    this->log_backoff = this->NextBackoff(this->log_backoff);
    front.not_before = this->clock.Now() + this->log_backoff;
  }
  return this->Advance();
}

void OrderManager::ApplyRecord(const StoredTargetRecord& stored) {
  const bool valid = this->log.Apply(stored);
  const RecordId id = stored.record.id;
  if (!this->appends.empty() && this->appends.front().record.id == id) {
    this->appends.pop_front();
  }
  if (std::holds_alternative<EpochRecord>(stored.record.body)) {
    if (valid && id == this->epoch_id) {
      this->token = FencingToken{stored.offset.value};
      this->epoch_pending = false;
      this->last_epoch = this->clock.Now();
      this->state_not_before = {};
      this->next_state_read = {};
    } else if (valid && this->token.value != 0) {
      this->superseded = true;
      this->actions.emplace_back(Superseded{});
    }
    return;
  }
  if (const auto* intent = std::get_if<IntentRecord>(&stored.record.body)) {
    const auto pending = this->pending_orders.find(intent->intent.order);
    if (valid && pending != this->pending_orders.end() &&
        pending->second.stage == OrderStage::kAwaitingIntent) {
      pending->second.stage = OrderStage::kReady;
    }
    return;
  }
  if (const auto* settle = std::get_if<SettleRecord>(&stored.record.body)) {
    this->ApplySettle(*settle);
  }
}

void OrderManager::ApplySettle(const SettleRecord& settle) {
  for (const OrderId order : settle.orders) {
    const auto pin = this->pins.find(order);
    if (pin == this->pins.end()) {
      continue;
    }
    // The order may have taken effect after the newest state read was sent.
    this->MarkChanged(pin->second);
    this->RemovePin(order);
  }
}

void OrderManager::OnTailReached() {
  this->last_tail = this->clock.Now();
  if (!this->appends.empty()) {
    this->appends.front().needs_tail_check = false;
  }
  if (this->token.value == 0 && !this->epoch_pending) {
    this->QueueEpoch();
  }
}

bool OrderManager::NeedsRead() const {
  if (this->reading || this->clock.Now() < this->read_not_before) {
    return false;
  }
  const bool taking_over = this->token.value == 0 && !this->epoch_pending;
  const bool check =
      !this->appends.empty() && this->appends.front().needs_tail_check;
  return taking_over || check || this->next_offset < this->read_until ||
         this->clock.Now() - this->last_tail >= this->options.log_interval;
}

bool OrderManager::NeedsRenewal() const {
  if (this->token.value == 0 || this->epoch_pending) {
    return false;
  }
  if (this->clock.Now() - this->last_epoch >=
      this->options.log_retention / kRenewalsPerRetention) {
    return true;
  }
  // With a newer token, the engine refuses unanswered orders that arrive late,
  // which ends the pins.
  return this->options.checks_fencing && this->synced_token == this->token &&
         std::ranges::any_of(this->account.Charges(), [](const auto& entry) {
           return entry.second.pinned;
         });
}

void OrderManager::QueueAppend(decltype(TargetRecord::body) body) {
  const RecordId id{this->random.Next(), this->random.Next()};
  this->appends.push_back({TargetRecord{id, std::move(body)}});
}

void OrderManager::QueueEpoch() {
  EpochRecord epoch{this->options.instance};
  if (this->synced_incarnation) {
    this->log.RetainIncarnation(*this->synced_incarnation);
  }
  for (const auto& [order, intent] : this->log.OpenIntents()) {
    epoch.open_intents.push_back(intent);
  }
  if (this->token.value != 0) {
    epoch.renews = LogOffset{this->token.value};
  }
  this->epoch_pending = true;
  this->QueueAppend(std::move(epoch));
  this->epoch_id = this->appends.back().record.id;
}

void OrderManager::StepLog() {
  if (!this->started) {
    return;
  }
  if (this->NeedsRenewal()) {
    this->QueueEpoch();
  }
  if (!this->orders_to_settle.empty() && this->appends.empty()) {
    const std::size_t count =
        std::min(this->orders_to_settle.size(), kSettledPerRecord);
    const auto end = this->orders_to_settle.begin() + static_cast<long>(count);
    this->QueueAppend(SettleRecord{{this->orders_to_settle.begin(), end}});
    this->orders_to_settle.erase(this->orders_to_settle.begin(), end);
  }
  if (this->NeedsRead()) {
    this->reading = true;
    this->actions.emplace_back(ReadTargetStream{this->next_offset});
  }
  if (this->appends.empty()) {
    return;
  }
  PendingAppend& front = this->appends.front();
  auto* intent = std::get_if<IntentRecord>(&front.record.body);
  // An intent that names the old epoch would be void after the renewal.
  const bool renewal_sent =
      this->epoch_pending &&
      std::ranges::none_of(this->appends, [this](const PendingAppend& append) {
        return append.record.id == this->epoch_id;
      });
  const bool wait = intent != nullptr && renewal_sent;
  if (front.sent || front.needs_tail_check || wait ||
      this->clock.Now() < front.not_before) {
    return;
  }
  if (intent != nullptr) {
    intent->epoch = this->token;
  }
  front.sent = true;
  this->actions.emplace_back(AppendRecord{front.record});
}

}  // namespace pimentospar
