#include "gateway/holder_feed.h"

#include <utility>

namespace pimentospar {

namespace {

// Without word for so long, or with word this old, an entry reads itself.
constexpr std::chrono::milliseconds kSilence{1200};
constexpr std::chrono::milliseconds kOldest{1500};

}  // namespace

void HolderFeed::OnChange(RegistrationChange change) {
  this->untold.push_back(std::move(change));
}

EntryMessage HolderFeed::NewMessage(const HolderState& state) const {
  EntryMessage message;
  message.lease = state.lease;
  message.registration_count = this->told;
  message.registration_age = state.registration_age;
  message.config = state.config;
  return message;
}

EntryMessage HolderFeed::TakeChanges(const HolderState& state) {
  this->told += this->untold.size();
  EntryMessage message = this->NewMessage(state);
  message.registrations = std::exchange(this->untold, {});
  return message;
}

bool HolderFeed::OnMessage(const EntryMessage& message) {
  const std::uint64_t before =
      message.registration_count - message.registrations.size();
  const bool follows = this->heard &&
                       this->heard->instance == message.instance &&
                       this->heard->count == before;
  this->heard = Heard{message.instance, message.registration_count,
                      this->clock.Now(), message.registration_age};
  this->ForgetChanges();
  return follows;
}

bool HolderFeed::IsFresh() const {
  if (!this->heard) {
    return false;
  }
  const Duration since = this->clock.Now() - this->heard->at;
  return since < kSilence && this->heard->age + since < kOldest;
}

}  // namespace pimentospar
