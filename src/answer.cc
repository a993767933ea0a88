#include "pimentospar/answer.h"

#include <algorithm>

namespace pimentospar {

AnswerAssembler::AnswerAssembler(AttemptId attempt, Bytes max_bytes)
    : max_bytes(max_bytes), attempts{attempt} {}

bool AnswerAssembler::IsOwn(AttemptId attempt) const {
  return std::ranges::find(this->attempts, attempt) != this->attempts.end();
}

ChunkVerdict AnswerAssembler::Judge(const AnswerChunk& chunk) const {
  if (chunk.attempt != this->Current()) {
    return this->IsOwn(chunk.attempt) ? ChunkVerdict::kLate
                                      : ChunkVerdict::kCrossed;
  }
  if (chunk.sequence < this->NextSequence()) {
    return ChunkVerdict::kRepeated;
  }
  if (this->complete) {
    return ChunkVerdict::kLate;
  }
  if (chunk.sequence > this->NextSequence()) {
    return ChunkVerdict::kShort;
  }
  if (chunk.text.size() > this->max_bytes - this->bytes) {
    return ChunkVerdict::kTooLarge;
  }
  return chunk.last ? ChunkVerdict::kCompleted : ChunkVerdict::kAccepted;
}

void AnswerAssembler::Count(ChunkVerdict verdict) {
  switch (verdict) {
    case ChunkVerdict::kAccepted:
    case ChunkVerdict::kCompleted:
      ++this->counters.accepted;
      break;
    case ChunkVerdict::kShort:
      ++this->counters.missing;
      break;
    case ChunkVerdict::kCrossed:
      ++this->counters.crossed;
      break;
    case ChunkVerdict::kLate:
      ++this->counters.late;
      break;
    case ChunkVerdict::kRepeated:
      ++this->counters.repeated;
      break;
    case ChunkVerdict::kTooLarge:
      ++this->counters.too_large;
      break;
  }
}

ChunkVerdict AnswerAssembler::OnChunk(const AnswerChunk& chunk) {
  const ChunkVerdict verdict = this->Judge(chunk);
  this->Count(verdict);
  if (verdict == ChunkVerdict::kAccepted ||
      verdict == ChunkVerdict::kCompleted) {
    this->delivered.emplace_back(chunk.text);
    this->bytes += chunk.text.size();
    this->complete = chunk.last;
  }
  return verdict;
}

ChunkVerdict AnswerAssembler::OnEnd(AttemptId attempt, std::uint32_t chunks) {
  ChunkVerdict verdict = ChunkVerdict::kCompleted;
  if (attempt != this->Current()) {
    verdict =
        this->IsOwn(attempt) ? ChunkVerdict::kLate : ChunkVerdict::kCrossed;
  } else if (!this->complete || chunks != this->NextSequence()) {
    verdict = ChunkVerdict::kShort;
  }
  if (verdict != ChunkVerdict::kCompleted) {
    this->Count(verdict);
  }
  return verdict;
}

bool AnswerAssembler::ContinueAt(AttemptId attempt) {
  if (this->complete || this->IsOwn(attempt)) {
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

void ExecutionState::OnPartialAnswer() {
  this->OnDispatch();
  this->answer_started = true;
}

void ExecutionState::OnCompleteAnswer() {
  this->state = Executed::kYes;
}

void ExecutionState::OnErrorStatus(int status,
                                   std::string_view executed_header) {
  const bool refused =
      (status == 429 || status == 503) && executed_header == "no";
  if (refused && this->state == Executed::kUnknown && !this->answer_started) {
    this->state = Executed::kNo;
  }
}

Executed Combine(Executed first, Executed second) {
  return std::max(first, second);
}

}  // namespace pimentospar
