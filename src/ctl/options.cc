#include "ctl/options.h"

#include <popt.h>

#include <iostream>
#include <memory>

namespace pimentospar::ctl {

namespace {

struct RawOptions {
  int json = 0;
  char* log = nullptr;
  char* file = nullptr;
  char* save = nullptr;
  char* base = nullptr;
  char* author = nullptr;
  char** processes = nullptr;
};

std::string Text(const char* raw) {
  return raw == nullptr ? "" : raw;
}

std::vector<poptOption> MakeTable(const CommandShape& shape, RawOptions& raw) {
  std::vector<poptOption> table{{"json", 0, POPT_ARG_NONE, &raw.json, 0,
                                 "print JSON instead of a table", nullptr}};
  const auto add = [&](const char* name, char** value, const char* help,
                       const char* argument) {
    table.push_back({name, 0, POPT_ARG_STRING, value, 0, help, argument});
  };
  if (shape.reads_log) {
    add("log", &raw.log, "address of the log service", "IP:PORT");
  }
  if (shape.takes_file) {
    add("file", &raw.file, "read a saved stream instead of the log", "FILE");
    add("save", &raw.save, "save the stream that was read", "FILE");
  }
  if (shape.proposes) {
    add("base", &raw.base, "version that the change starts from, or none",
        "VERSION");
    add("author", &raw.author, "who makes the change", "NAME");
  }
  if (shape.asks_processes) {
    table.push_back(
        {"process", 0, POPT_ARG_ARGV, static_cast<void*>(&raw.processes), 0,
         "operators' address of a process; repeat for each", "IP:PORT"});
  }
  table.push_back({nullptr, 0, POPT_ARG_INCLUDE_TABLE,
                   static_cast<void*>(poptHelpOptions), 0,
                   "Help options:", nullptr});
  table.push_back(POPT_TABLEEND);
  return table;
}

}  // namespace

std::optional<Options> ReadOptions(const CommandShape& shape,
                                   const std::vector<std::string>& words) {
  RawOptions raw;
  const std::vector<poptOption> table = MakeTable(shape, raw);
  std::string program = "pimentosparctl " + shape.name;
  std::vector<const char*> argv{program.c_str()};
  for (const std::string& word : words) {
    argv.push_back(word.c_str());
  }
  argv.push_back(nullptr);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext(program.c_str(), static_cast<int>(argv.size()) - 1,
                     argv.data(), table.data(), 0),
      poptFreeContext);
  poptSetOtherOptionHelp(
      context.get(),
      ("[OPTION...] " + shape.arguments + "\n" + shape.summary).c_str());
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result)
              << "\n";
    return std::nullopt;
  }
  Options options{raw.json != 0,  Text(raw.log),  Text(raw.file),
                  Text(raw.save), Text(raw.base), Text(raw.author)};
  for (char** process = raw.processes;
       process != nullptr && *process != nullptr; ++process) {
    options.processes.emplace_back(*process);
  }
  while (const char* argument = poptGetArg(context.get())) {
    options.arguments.emplace_back(argument);
  }
  const std::size_t count = options.arguments.size();
  if (count < shape.min_arguments || count > shape.max_arguments) {
    std::cerr << "usage: " << program << " [OPTION...] " << shape.arguments
              << "\n";
    return std::nullopt;
  }
  return options;
}

}  // namespace pimentospar::ctl
