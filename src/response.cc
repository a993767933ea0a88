#include "pimentospar/response.h"

#include <algorithm>

namespace pimentospar {

ResponseAssembler::ResponseAssembler(AttemptId attempt, Bytes max_bytes)
    : max_bytes(max_bytes), attempts{attempt} {}

bool ResponseAssembler::IsKnownAttempt(AttemptId attempt) const {
  return std::ranges::find(this->attempts, attempt) != this->attempts.end();
}

ChunkStatus ResponseAssembler::Classify(const ResponseChunk& chunk) const {
  if (chunk.attempt != this->Current()) {
    return this->IsKnownAttempt(chunk.attempt) ? ChunkStatus::kLate
                                               : ChunkStatus::kUnknownAttempt;
  }
  if (chunk.sequence < this->NextSequence()) {
    return ChunkStatus::kRepeated;
  }
  if (this->complete) {
    return ChunkStatus::kLate;
  }
  if (chunk.sequence > this->NextSequence()) {
    return ChunkStatus::kMissingChunk;
  }
  if (chunk.text.size() > this->max_bytes - this->bytes) {
    return ChunkStatus::kTooLarge;
  }
  return chunk.last ? ChunkStatus::kCompleted : ChunkStatus::kAccepted;
}

void ResponseAssembler::CountChunk(ChunkStatus status) {
  switch (status) {
    case ChunkStatus::kAccepted:
    case ChunkStatus::kCompleted:
      ++this->counters.accepted;
      break;
    case ChunkStatus::kMissingChunk:
      ++this->counters.missing;
      break;
    case ChunkStatus::kUnknownAttempt:
      ++this->counters.unknown_attempt;
      break;
    case ChunkStatus::kLate:
      ++this->counters.late;
      break;
    case ChunkStatus::kRepeated:
      ++this->counters.repeated;
      break;
    case ChunkStatus::kTooLarge:
      ++this->counters.too_large;
      break;
  }
}

ChunkStatus ResponseAssembler::OnChunk(const ResponseChunk& chunk) {
  const ChunkStatus status = this->Classify(chunk);
  this->CountChunk(status);
  if (status == ChunkStatus::kAccepted || status == ChunkStatus::kCompleted) {
    this->delivered.emplace_back(chunk.text);
    this->bytes += chunk.text.size();
    this->complete = chunk.last;
  }
  return status;
}

ChunkStatus ResponseAssembler::OnEnd(AttemptId attempt, std::uint32_t chunks) {
  ChunkStatus status = ChunkStatus::kCompleted;
  if (attempt != this->Current()) {
    status = this->IsKnownAttempt(attempt) ? ChunkStatus::kLate
                                           : ChunkStatus::kUnknownAttempt;
  } else if (!this->complete || chunks != this->NextSequence()) {
    status = ChunkStatus::kMissingChunk;
  }
  if (status != ChunkStatus::kCompleted) {
    this->CountChunk(status);
  }
  return status;
}

bool ResponseAssembler::ContinueWith(AttemptId attempt) {
  if (this->complete || this->IsKnownAttempt(attempt)) {
    return false;
  }
  this->attempts.push_back(attempt);
  return true;
}

void ExecutionState::OnDispatch() {
  if (this->state == Executed::kNo) {
    this->state = Executed::kUnknown;
  }
}

void ExecutionState::OnPartialResponse() {
  this->OnDispatch();
  this->response_started = true;
}

void ExecutionState::OnCompleteResponse() {
  this->state = Executed::kYes;
}

void ExecutionState::OnErrorStatus(int status,
                                   std::string_view executed_header) {
  const bool refused =
      (status == 429 || status == 503) && executed_header == "no";
  if (refused && this->state == Executed::kUnknown && !this->response_started) {
    this->state = Executed::kNo;
  }
}

Executed CombineExecuted(Executed first, Executed second) {
  return std::max(first, second);
}

}  // namespace pimentospar
