#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "control/log_client.h"
#include "control/propose.h"
#include "ctl/commands.h"
#include "ctl/http_client.h"
#include "ctl/output.h"
#include "ctl/saved_stream.h"

namespace pimentospar::ctl {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// What a command knows after it has read the stream to its tail.
struct Session {
  SystemClock clock;
  SeededRandom random{EntropySeed()};
  ConfigLog log{clock, random, {.first_offset = control::kFirstOffset}};
  std::unique_ptr<ConfigStream> client;
  std::vector<ConfigRecord> read;
};

ExitCode Open(const Options& options, Session& session) {
  if (options.log.empty() == options.file.empty()) {
    std::cerr << "give the log with --log IP:PORT\n";
    return kUsage;
  }
  if (!options.file.empty()) {
    session.client = OpenSavedStream(options.file);
    if (session.client == nullptr) {
      std::cerr << options.file << " is not a saved stream\n";
      return kInvalidInput;
    }
  } else {
    session.client = std::make_unique<HttpConfigStream>(options.log);
  }
  if (!options.save.empty()) {
    session.client = SaveStream(std::move(session.client), options.save);
  }
  if (!ReadToTail(*session.client, session.log)) {
    std::cerr << "the log at " << options.log << " cannot be reached\n";
    return kUnreachable;
  }
  return kDone;
}

std::string ShowVersion(const ConfigLog& log) {
  return log.Version() ? std::to_string(log.Version()->value) : "none";
}

ExitCode RunShow(const Options& options) {
  Session session;
  if (const ExitCode code = Open(options, session); code != kDone) {
    return code;
  }
  const Configuration* configuration = session.log.ActiveConfiguration();
  if (configuration == nullptr) {
    std::cerr << "there is no configuration in force\n";
    return kFailure;
  }
  if (options.json) {
    std::cout << session.log.Document() << "\n";
    return kDone;
  }
  const auto count = [](const auto& list) {
    return std::to_string(list.size());
  };
  PrintTable({"part", "value"},
             {{"version", ShowVersion(session.log)},
              {"deployment", configuration->deployment},
              {"objective", std::string(ToString(configuration->objective))},
              {"regions", count(configuration->regions)},
              {"owners", count(configuration->owners)},
              {"models", count(configuration->models)},
              {"services", count(configuration->services)},
              {"targets", count(configuration->targets)}},
             false);
  return kDone;
}

ExitCode RunDiff(const Options& options) {
  Session session;
  if (const ExitCode code = Open(options, session); code != kDone) {
    return code;
  }
  const std::optional<std::string> text = ReadFile(options.arguments[0]);
  if (!text || session.log.ActiveConfiguration() == nullptr) {
    std::cerr << (text ? "there is no configuration in force"
                       : "cannot read the file")
              << "\n";
    return kInvalidInput;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_AUTO(configuration, ParseConfiguration(*text));
        const std::string patch =
            MakePatch(session.log.Document(), ToJson(configuration));
        std::vector<std::vector<std::string>> rows;
        const json::value operations = json::parse(patch);
        for (const json::value& item : operations.as_array()) {
          const json::object& operation = item.as_object();
          const json::value* value = operation.if_contains("value");
          rows.push_back({std::string(operation.at("op").as_string()),
                          std::string(operation.at("path").as_string()),
                          value == nullptr ? "" : json::serialize(*value)});
        }
        if (options.json) {
          std::cout << patch << "\n";
        } else {
          PrintTable({"op", "path", "value"}, rows, false);
        }
        return kDone;
      },
      [&](const ConfigErrors& found) {
        PrintErrors(found.errors, options.json);
        return kInvalidInput;
      },
      [] { return kFailure; });
}

ExitCode RunHistory(const Options& options) {
  Session session;
  if (const ExitCode code = Open(options, session); code != kDone) {
    return code;
  }
  std::vector<std::vector<std::string>> rows;
  for (const ChangeSummary& line : session.log.History()) {
    rows.push_back({std::to_string(line.offset.value),
                    std::to_string(line.time_ms), line.author,
                    std::to_string(line.base.value), Describe(line.outcome),
                    line.hash});
  }
  PrintTable({"offset", "time_ms", "author", "base", "result", "hash"}, rows,
             options.json);
  return kDone;
}

ExitCode RunVerify(const Options& options) {
  Session session;
  if (const ExitCode code = Open(options, session); code != kDone) {
    return code;
  }
  // A record that was altered or removed shows in the next one, whose author
  // had read the original.
  std::vector<std::string> problems;
  for (const ChangeSummary& line : session.log.History()) {
    const ChangeInvalid* invalid = std::get_if<ChangeInvalid>(&line.outcome);
    if (invalid != nullptr &&
        std::ranges::any_of(invalid->errors, [](const ConfigError& error) {
          return error.path == "prev_hash";
        })) {
      problems.push_back("offset " + std::to_string(line.offset.value) +
                         " was written on another chain");
    }
  }
  // A second reading compares every record with the chain of the first.
  LogOffset from;
  for (;;) {
    const std::optional<ConfigPage> page = session.client->Read(from);
    if (!page) {
      return kUnreachable;
    }
    for (const ConfigEvent& event : session.log.OnLogRecords(page->records)) {
      if (const SourceRejected* rejected =
              std::get_if<SourceRejected>(&event)) {
        problems.push_back(rejected->detail);
      }
      if (const auto* missing = std::get_if<RecordsMissing>(&event)) {
        problems.push_back("records are missing from offset " +
                           std::to_string(missing->expected.value));
      }
    }
    if (page->records.empty() || page->next <= from) {
      break;
    }
    from = page->next;
  }
  PrintTable({"version", "chain_head", "changes", "problems"},
             {{ShowVersion(session.log), std::string(session.log.ChainHead()),
               std::to_string(session.log.History().size()),
               std::to_string(problems.size())}},
             options.json);
  for (const std::string& problem : problems) {
    std::cerr << problem << "\n";
  }
  return problems.empty() ? kDone : kFailure;
}

ExitCode RunStatus(const Options& options) {
  if (options.processes.empty()) {
    std::cerr << "give the processes with --process IP:PORT\n";
    return kUsage;
  }
  const char* token = std::getenv("PIMENTOSPAR_TOKEN");
  const std::vector<std::string> fields{"instance", "role", "region",
                                        "config_version", "log_age_ms"};
  std::vector<std::vector<std::string>> rows;
  ExitCode code = kDone;
  for (const std::string& process : options.processes) {
    std::vector<std::string> row{process};
    const HttpResult result =
        Call("GET", process, "/status", "", token == nullptr ? "" : token);
    json::error_code error;
    json::value value;
    if (result.answer && result.answer->status == 200) {
      value = json::parse(result.answer->body, error);
    }
    const json::object* object = value.if_object();
    for (const std::string& field : fields) {
      const json::value* item = object ? object->if_contains(field) : nullptr;
      row.push_back(item == nullptr     ? "-"
                    : item->is_string() ? std::string(item->get_string())
                                        : json::serialize(*item));
    }
    row.push_back(object != nullptr ? "ok"
                  : result.answer
                      ? "status " + std::to_string(result.answer->status)
                      : "unreachable");
    code = object == nullptr ? kUnreachable : code;
    rows.push_back(std::move(row));
  }
  PrintTable({"process", "instance", "role", "region", "config_version",
              "log_age_ms", "answer"},
             rows, options.json);
  return code;
}

// Fills in the content of the change from a whole document or a patch.
leaf::result<void> FillContent(const std::string& text,
                               const ConfigLog& log,
                               ChangeDraft& draft) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  if (!error && value.is_array() && log.Version()) {
    BOOST_LEAF_CHECK(ApplyPatch(log.Document(), text));
    draft.content = text;
    return {};
  }
  BOOST_LEAF_AUTO(configuration, ParseConfiguration(text));
  draft.is_document = !log.Version();
  draft.content = draft.is_document
                      ? ToJson(configuration)
                      : MakePatch(log.Document(), ToJson(configuration));
  return {};
}

ExitCode Report(const ProposalResult& result, const Options& options) {
  if (std::holds_alternative<LogUnreachable>(result)) {
    std::cerr << "the log cannot be reached; nothing was proposed\n";
    return kUnreachable;
  }
  if (const ProposalUnknown* unknown = std::get_if<ProposalUnknown>(&result)) {
    std::cerr << "the outcome is unknown; look for id " << unknown->id
              << " in the history\n";
    return kOutcomeUnknown;
  }
  const ChangeSummary& line = std::get<ChangeSummary>(result);
  PrintTable({"offset", "author", "base", "result"},
             {{std::to_string(line.offset.value), line.author,
               std::to_string(line.base.value), Describe(line.outcome)}},
             options.json);
  return std::holds_alternative<ChangeAccepted>(line.outcome) ? kDone
                                                              : kRejected;
}

// Tells who replaced the base before anything is appended.
ExitCode ReportOvertaken(const ConfigLog& log,
                         std::uint64_t base,
                         const Options& options) {
  ChangeOutcome outcome = ChangeConflict{
      LogOffset{log.Version().value_or(ConfigVersion{}).value}, "?"};
  for (const ChangeSummary& line : log.History()) {
    if (std::holds_alternative<ChangeAccepted>(line.outcome) &&
        line.offset.value > base) {
      outcome = ChangeConflict{line.offset, line.author};
      break;
    }
  }
  PrintTable({"base", "version", "result"},
             {{options.base, ShowVersion(log), Describe(outcome)}},
             options.json);
  return kRejected;
}

ExitCode RunPropose(const Options& options) {
  std::uint64_t base = 0;
  const char* end = options.base.data() + options.base.size();
  const bool is_none = options.base == "none";
  const auto number = std::from_chars(options.base.data(), end, base);
  if (options.author.empty() ||
      (!is_none && (number.ec != std::errc() || number.ptr != end))) {
    std::cerr << "give --base VERSION (or none) and --author NAME\n";
    return kUsage;
  }
  const std::optional<std::string> text = ReadFile(options.arguments[0]);
  if (!text) {
    std::cerr << "cannot read " << options.arguments[0] << "\n";
    return kInvalidInput;
  }
  Session session;
  if (const ExitCode code = Open(options, session); code != kDone) {
    return code;
  }
  const ConfigLog& log = session.log;
  if (is_none && log.Version()) {
    return ReportOvertaken(log, 0, options);
  }
  if (!is_none && log.Version() != ConfigVersion{base}) {
    return ReportOvertaken(log, base, options);
  }
  ChangeDraft draft{MakeRecordId(session.random), options.author,
                    session.clock.WallNow().time_since_epoch().count(),
                    ConfigVersion{base}, std::string(log.ChainHead())};
  return leaf::try_handle_all(
      [&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_CHECK(FillContent(*text, log, draft));
        return Report(ProposeChange(*session.client, session.log, draft),
                      options);
      },
      [&](const ConfigErrors& found) {
        PrintErrors(found.errors, options.json);
        return kInvalidInput;
      },
      [] { return kFailure; });
}

}  // namespace

std::span<const Command> ConfigCommands() {
  static const std::vector<Command> commands{
      {{"config propose", "FILE",
        "Proposes a whole document or a JSON Patch and tells the result.", 1, 1,
        true, false, true},
       RunPropose},
      {{"config show", "", "Shows the configuration in force.", 0, 0, true,
        true},
       RunShow},
      {{"config diff", "FILE",
        "Shows the patch from the version in force to a document.", 1, 1, true,
        true},
       RunDiff},
      {{"config history", "", "Lists all changes with their results.", 0, 0,
        true, true},
       RunHistory},
      {{"config verify", "", "Checks the hash chain.", 0, 0, true, true},
       RunVerify},
      {{"config status", "", "Shows the version in force at each process.", 0,
        0, false, false, false, true},
       RunStatus}};
  return commands;
}

}  // namespace pimentospar::ctl
