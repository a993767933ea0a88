#ifndef SRC_CONTROL_PROPOSE_H_
#define SRC_CONTROL_PROPOSE_H_

#include "control/config_stream.h"

namespace pimentospar {

/// Reads the stream to its tail; false if the log cannot be reached.
bool ReadToTail(ConfigStream& client, ConfigLog& log);

/// The log could not be reached and holds nothing of the change.
struct LogUnreachable {};
/// The record may be on the log; `id` finds it there later.
struct ProposalUnknown {
  std::string id;
};
using ProposalResult =
    std::variant<ChangeSummary, LogUnreachable, ProposalUnknown>;

/// Appends a change and reads on until its verdict is known. A lost answer is
/// settled by reading for the record id; the record is never appended twice.
ProposalResult ProposeChange(ConfigStream& client,
                             ConfigLog& log,
                             const ChangeDraft& draft);

}  // namespace pimentospar

#endif  // SRC_CONTROL_PROPOSE_H_
