#include "gateway/registration_feed.h"

#include <utility>

namespace pimentospar {

namespace {

// An entry polls the log at its own pace if it has received no message of the
// lease holder for this time.
constexpr std::chrono::milliseconds kMessageTimeout{1200};
// An entry also polls the log at its own pace if the lease holder's last read
// of the registrations is older than this.
constexpr std::chrono::milliseconds kMaxRegistrationAge{1500};

}  // namespace

void RegistrationFeed::QueueChange(RegistrationChange change) {
  this->queued.push_back(std::move(change));
}

EntryMessage RegistrationFeed::MakeMessage(const HolderState& state) const {
  EntryMessage message;
  message.lease = state.lease;
  message.registration_count = this->sent_count;
  message.registration_age = state.registration_age;
  message.config = state.config;
  message.entry_count = state.entry_count;
  return message;
}

EntryMessage RegistrationFeed::TakeUpdate(const HolderState& state) {
  this->sent_count += this->queued.size();
  EntryMessage message = this->MakeMessage(state);
  message.registrations = std::exchange(this->queued, {});
  return message;
}

bool RegistrationFeed::OnMessage(const EntryMessage& message) {
  const std::uint64_t expected_count =
      message.registration_count - message.registrations.size();
  const bool is_next = this->last_received &&
                       this->last_received->instance == message.instance &&
                       this->last_received->count == expected_count;
  this->last_received = Received{message.instance, message.registration_count,
                                 this->clock.Now(), message.registration_age};
  this->DiscardQueuedChanges();
  return is_next;
}

bool RegistrationFeed::IsFresh() const {
  if (!this->last_received) {
    return false;
  }
  const Duration elapsed = this->clock.Now() - this->last_received->received_at;
  return elapsed < kMessageTimeout &&
         this->last_received->registration_age + elapsed < kMaxRegistrationAge;
}

}  // namespace pimentospar
