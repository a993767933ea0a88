#ifndef SRC_CONTROL_PROPOSE_H_
#define SRC_CONTROL_PROPOSE_H_

#include "control/config_stream.h"

namespace pimentospar {

/// Reads the stream to its tail; returns false if the log cannot be reached.
bool ReadToTail(ConfigStream& client, ConfigLog& log);

/// The log could not be reached and did not store the change.
struct LogUnreachable {};
/// The log may have stored the record; `id` identifies it there.
struct ProposalUnknown {
  std::string id;
};
using ProposalResult =
    std::variant<ChangeSummary, LogUnreachable, ProposalUnknown>;

/// Appends a change and reads the stream until its outcome is known. After a
/// lost response, the record is looked up by its id; it is never appended
/// twice.
ProposalResult ProposeChange(ConfigStream& client,
                             ConfigLog& log,
                             const ChangeDraft& draft);

}  // namespace pimentospar

#endif  // SRC_CONTROL_PROPOSE_H_
