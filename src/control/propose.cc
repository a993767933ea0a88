#include "control/propose.h"

namespace pimentospar {

namespace {

// Maximum number of reads of the stream to find the appended record.
constexpr int kMaxOutcomeReads = 5;

}  // namespace

bool ReadToTail(ConfigStream& client, ConfigLog& log) {
  for (;;) {
    const LogOffset from = log.NextReadOffset();
    const std::optional<ConfigPage> page = client.Read(from);
    if (!page) {
      return false;
    }
    log.OnLogRecords(page->records);
    if (page->records.empty() || log.NextReadOffset() == from) {
      return true;
    }
  }
}

ProposalResult ProposeChange(ConfigStream& client,
                             ConfigLog& log,
                             const ChangeDraft& draft) {
  const AppendResult appended = client.Append(MakeChange(draft));
  if (std::holds_alternative<NotAppended>(appended)) {
    return LogUnreachable{};
  }
  for (int read = 0; read < kMaxOutcomeReads; ++read) {
    if (!ReadToTail(client, log)) {
      continue;
    }
    if (const ChangeSummary* line = log.FindChange(draft.id)) {
      return *line;
    }
  }
  return ProposalUnknown{draft.id};
}

}  // namespace pimentospar
