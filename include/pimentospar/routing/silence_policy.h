#ifndef INCLUDE_PIMENTOSPAR_ROUTING_SILENCE_POLICY_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_SILENCE_POLICY_H_

#include "pimentospar/clock.h"

namespace pimentospar {

/// Returns whether an attempt may be given up whose target has sent nothing for
/// `silence`, which is longer than a response usually takes. A target that
/// responds to others has a long queue: another attempt reads the prompt once
/// more elsewhere, so that in a burst all queues grow. It therefore gets more
/// time, but not without end, since only this response may have been lost.
[[nodiscard]] bool MayGiveUpAfter(Duration silence, bool is_responsive);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_SILENCE_POLICY_H_
