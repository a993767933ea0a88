#define BOOST_TEST_MODULE response
#include "pimentospar/response.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

constexpr Bytes kLimit = 1000;

std::string TokenAt(std::uint32_t sequence) {
  return "t" + std::to_string(sequence) + " ";
}

// Guards against forwarding chunks of another request, and against missing,
// repeated or reordered chunks when the streams of two attempts and of another
// request interleave.
RC_BOOST_PROP(ForwardsEachChunkOnceInOrder, ()) {
  constexpr std::uint32_t kChunks = 6;
  constexpr AttemptId kFirst{7};
  constexpr AttemptId kSecond{8};
  constexpr AttemptId kOtherRequest{9};
  ResponseAssembler assembler(kFirst, kLimit);
  std::uint32_t next = 0;
  std::uint64_t dropped = 0;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      60, rc::gen::inRange<std::uint32_t>(0, 4 * kChunks));
  for (const std::uint32_t step : steps) {
    const std::uint32_t sequence = step % kChunks;
    const AttemptId sender = step < kChunks       ? kOtherRequest
                             : step < 2 * kChunks ? kFirst
                                                  : kSecond;
    if (step == 4 * kChunks - 1) {
      const bool may_continue =
          !assembler.IsComplete() && assembler.Current() == kFirst;
      RC_ASSERT(assembler.ContinueWith(kSecond) == may_continue);
      continue;
    }
    const std::string text =
        sender == kOtherRequest ? "stranger" : TokenAt(sequence);
    const bool right = sender == assembler.Current() && sequence == next;
    const auto status =
        assembler.OnChunk({sender, sequence, text, sequence == kChunks - 1});
    RC_ASSERT(right == (status == ChunkStatus::kAccepted ||
                        status == ChunkStatus::kCompleted));
    next += right ? 1 : 0;
    dropped += right ? 0 : 1;
    RC_ASSERT(assembler.IsComplete() == (next == kChunks));
  }
  const auto& counted = assembler.Counters();
  RC_ASSERT(counted.accepted == next);
  RC_ASSERT(counted.missing + counted.unknown_attempt + counted.late +
                counted.repeated ==
            dropped);
  for (std::uint32_t i = 0; i < next; ++i) {
    RC_ASSERT(assembler.Delivered()[i] == TokenAt(i));
  }
}

// Guards against a truncated stream that counts as complete, and against
// unbounded memory for one response.
BOOST_AUTO_TEST_CASE(DetectsIncompleteAndOversizedResponses) {
  ResponseAssembler assembler(AttemptId{1}, 4);
  BOOST_TEST((assembler.OnChunk({AttemptId{1}, 0, "ab", false}) ==
              ChunkStatus::kAccepted));
  BOOST_TEST((assembler.OnEnd(AttemptId{1}, 1) == ChunkStatus::kMissingChunk));
  BOOST_TEST((assembler.OnChunk({AttemptId{1}, 1, "abc", true}) ==
              ChunkStatus::kTooLarge));
  BOOST_TEST(assembler.ContinueWith(AttemptId{2}));
  BOOST_TEST((assembler.OnChunk({AttemptId{2}, 0, "ab", false}) ==
              ChunkStatus::kRepeated));
  BOOST_TEST((assembler.OnChunk({AttemptId{2}, 1, "cd", true}) ==
              ChunkStatus::kCompleted));
  BOOST_TEST((assembler.OnEnd(AttemptId{1}, 2) == ChunkStatus::kLate));
  BOOST_TEST((assembler.OnEnd(AttemptId{2}, 3) == ChunkStatus::kMissingChunk));
  BOOST_TEST((assembler.OnEnd(AttemptId{2}, 2) == ChunkStatus::kCompleted));
}

// Guards against reporting "not run" for a request that may have run: events
// arrive in any order, and only a refusal by the target resets the state to
// `no`.
RC_BOOST_PROP(NeverReportsNotRunWithoutProof, ()) {
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
      state.OnPartialResponse();
      partial = true;
      expected = sent ? expected : Executed::kUnknown;
    } else if (event == 2) {
      state.OnCompleteResponse();
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
  RC_ASSERT(CombineExecuted(Executed::kNo, state.Get()) == state.Get());
  RC_ASSERT(CombineExecuted(Executed::kYes, state.Get()) == Executed::kYes);
}

}  // namespace
}  // namespace pimentospar
