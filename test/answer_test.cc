#define BOOST_TEST_MODULE answer
#include "pimentospar/answer.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

constexpr Bytes kLimit = 1000;

std::string TokenAt(std::uint32_t sequence) {
  return "t" + std::to_string(sequence) + " ";
}

// Guards against an answer that is not the caller's own and whole: streams of
// two attempts and a stranger are crossed, repeated, cut and delayed.
RC_BOOST_PROP(PassesOnExactlyTheAnswer, ()) {
  constexpr std::uint32_t kChunks = 6;
  constexpr AttemptId kFirst{7};
  constexpr AttemptId kSecond{8};
  constexpr AttemptId kStranger{9};
  AnswerAssembler assembler(kFirst, kLimit);
  std::uint32_t next = 0;
  std::uint64_t dropped = 0;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      60, rc::gen::inRange<std::uint32_t>(0, 4 * kChunks));
  for (const std::uint32_t step : steps) {
    const std::uint32_t sequence = step % kChunks;
    const AttemptId sender = step < kChunks       ? kStranger
                             : step < 2 * kChunks ? kFirst
                                                  : kSecond;
    if (step == 4 * kChunks - 1) {
      RC_ASSERT(assembler.ContinueAt(kSecond) ==
                (!assembler.IsComplete() && assembler.Current() == kFirst));
      continue;
    }
    const std::string text =
        sender == kStranger ? "stranger" : TokenAt(sequence);
    const bool right = sender == assembler.Current() && sequence == next;
    const auto verdict =
        assembler.OnChunk({sender, sequence, text, sequence == kChunks - 1});
    RC_ASSERT(right == (verdict == ChunkVerdict::kAccepted ||
                        verdict == ChunkVerdict::kCompleted));
    next += right ? 1 : 0;
    dropped += right ? 0 : 1;
    RC_ASSERT(assembler.IsComplete() == (next == kChunks));
  }
  const auto& counted = assembler.Counters();
  RC_ASSERT(counted.accepted == next);
  RC_ASSERT(counted.missing + counted.crossed + counted.late +
                counted.repeated ==
            dropped);
  for (std::uint32_t i = 0; i < next; ++i) {
    RC_ASSERT(assembler.Delivered()[i] == TokenAt(i));
  }
}

// Guards against a cut stream that counts as complete, and against unbounded
// memory for one answer.
BOOST_AUTO_TEST_CASE(DetectsShortAndOversizedAnswers) {
  AnswerAssembler assembler(AttemptId{1}, 4);
  BOOST_TEST((assembler.OnChunk({AttemptId{1}, 0, "ab", false}) ==
              ChunkVerdict::kAccepted));
  BOOST_TEST((assembler.OnEnd(AttemptId{1}, 1) == ChunkVerdict::kShort));
  BOOST_TEST((assembler.OnChunk({AttemptId{1}, 1, "abc", true}) ==
              ChunkVerdict::kTooLarge));
  BOOST_TEST(assembler.ContinueAt(AttemptId{2}));
  BOOST_TEST((assembler.OnChunk({AttemptId{2}, 0, "ab", false}) ==
              ChunkVerdict::kRepeated));
  BOOST_TEST((assembler.OnChunk({AttemptId{2}, 1, "cd", true}) ==
              ChunkVerdict::kCompleted));
  BOOST_TEST((assembler.OnEnd(AttemptId{1}, 2) == ChunkVerdict::kLate));
  BOOST_TEST((assembler.OnEnd(AttemptId{2}, 3) == ChunkVerdict::kShort));
  BOOST_TEST((assembler.OnEnd(AttemptId{2}, 2) == ChunkVerdict::kCompleted));
}

// Guards against "not run" told for a request that may have run: the events
// arrive in any order, and only the target's refusal leads back to `no`.
RC_BOOST_PROP(NeverClaimsNotRunWithoutProof, ()) {
  ExecutionState state;
  Executed expected = Executed::kNo;
  bool partial = false;
  for (const int event :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7))) {
    const bool sent = expected != Executed::kNo;
    if (event == 0) {
      state.OnDispatch();
      expected = sent ? expected : Executed::kUnknown;
    } else if (event == 1) {
      state.OnPartialAnswer();
      partial = true;
      expected = sent ? expected : Executed::kUnknown;
    } else if (event == 2) {
      state.OnCompleteAnswer();
      expected = Executed::kYes;
    } else if (event == 3) {
      state.OnErrorStatus(503, "no");
      expected =
          expected == Executed::kUnknown && !partial ? Executed::kNo : expected;
    } else {
      state.OnErrorStatus(event == 4 ? 500 : 429, event == 4 ? "no" : "");
    }
    RC_ASSERT(state.Get() == expected);
  }
  RC_ASSERT(Combine(Executed::kNo, state.Get()) == state.Get());
  RC_ASSERT(Combine(Executed::kYes, state.Get()) == Executed::kYes);
}

}  // namespace
}  // namespace pimentospar
