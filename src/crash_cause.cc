#include "pimentospar/crash_cause.h"

#include <algorithm>
#include <tuple>

namespace pimentospar {

namespace {

bool HasAll(std::span<const Fingerprint> fingerprints,
            std::span<const Fingerprint> wanted) {
  return std::ranges::all_of(wanted, [&](Fingerprint fingerprint) {
    return std::ranges::find(fingerprints, fingerprint) != fingerprints.end();
  });
}

bool HasCrash(const CrashSuspect& suspect, CrashId crash) {
  return std::ranges::find(suspect.crashes, crash, &CrashInFlight::crash) !=
         suspect.crashes.end();
}

// A cause whose requests were in flight at the same crashes cannot be told from
// `cause` yet.
bool IsIndistinguishable(const CrashSuspect& suspect,
                         const CrashSuspect& cause) {
  return suspect.has_completed_before == cause.has_completed_before &&
         std::ranges::all_of(cause.crashes, [&](const CrashInFlight& crash) {
           return HasCrash(suspect, crash.crash);
         });
}

CrashCause MakeCause(const CrashSuspect& cause,
                     std::span<const CrashSuspect> suspects,
                     std::uint32_t strikes) {
  CrashCause made;
  made.strikes = strikes;
  for (const CrashSuspect& suspect : suspects) {
    if (IsIndistinguishable(suspect, cause)) {
      made.fingerprints.push_back(suspect.fingerprint);
    }
  }
  made.last_crash = std::ranges::max(cause.crashes, {}, &CrashInFlight::at).at;
  return made;
}

void RemoveExplainedCrashes(std::vector<CrashSuspect>& suspects,
                            const CrashSuspect& cause) {
  for (CrashSuspect& suspect : suspects) {
    std::erase_if(suspect.crashes, [&](const CrashInFlight& crash) {
      return HasCrash(cause, crash.crash);
    });
  }
}

}  // namespace

std::uint32_t CountStrikes(std::vector<CrashInFlight> crashes,
                           Duration common_failure_time) {
  std::ranges::sort(crashes, {}, &CrashInFlight::at);
  std::uint32_t strikes = 0;
  TimePoint counted_until = TimePoint::min();
  for (const CrashInFlight& crash : crashes) {
    if (crash.at < counted_until) {
      continue;
    }
    ++strikes;
    counted_until = crash.at + common_failure_time;
  }
  return strikes;
}

std::vector<CrashCause> FindCrashCauses(std::vector<CrashSuspect> suspects,
                                        const CrashCauseOptions& options) {
  const auto strikes_of = [&options](const CrashSuspect& suspect) {
    return CountStrikes(suspect.crashes, suspect.has_completed_before
                                             ? options.common_failure_time
                                             : Duration(0));
  };
  std::vector<CrashCause> causes;
  while (true) {
    std::erase_if(suspects, [&](const CrashSuspect& suspect) {
      return strikes_of(suspect) < options.min_strikes;
    });
    if (suspects.empty()) {
      return causes;
    }
    const CrashSuspect cause = *std::ranges::max_element(
        suspects, {}, [&strikes_of](const CrashSuspect& suspect) {
          return std::tuple(!suspect.has_completed_before, strikes_of(suspect),
                            suspect.fingerprint);
        });
    causes.push_back(MakeCause(cause, suspects, strikes_of(cause)));
    RemoveExplainedCrashes(suspects, cause);
  }
}

const CrashCause* FindMatchingCause(std::span<const CrashCause> causes,
                                    std::span<const Fingerprint> fingerprints) {
  const auto found = std::ranges::find_if(causes, [&](const CrashCause& cause) {
    return HasAll(fingerprints, cause.fingerprints) ||
           (!fingerprints.empty() &&
            HasAll(cause.fingerprints, fingerprints.last(1)));
  });
  return found == causes.end() ? nullptr : &*found;
}

}  // namespace pimentospar
