#include <iostream>

#include "ctl/commands.h"

namespace pimentospar::ctl {

namespace {

void PrintUsage(std::ostream& out) {
  out << "usage: pimentosparctl COMMAND [OPTION...]\n";
  for (const auto& commands : {LocalCommands(), ConfigCommands()}) {
    for (const Command& command : commands) {
      std::string usage = command.shape.name + " " + command.shape.arguments;
      usage.resize(std::max<std::size_t>(usage.size() + 2, 24), ' ');
      out << "  " << usage << command.shape.summary << "\n";
    }
  }
  out << "COMMAND --help shows the options of a command.\n"
         "Exit codes: 0 done, 1 other failure, 2 usage, 3 the change was "
         "rejected, 4 invalid input,\n5 log or process not reachable, 6 "
         "outcome unknown.\n";
}

ExitCode Run(std::vector<std::string> words) {
  if (words.empty()) {
    PrintUsage(std::cerr);
    return kUsage;
  }
  std::string name = words[0];
  words.erase(words.begin());
  if (name == "--help" ||
      (name == "config" && words.size() == 1 && words[0] == "--help")) {
    PrintUsage(std::cout);
    return kDone;
  }
  if (name == "config" && !words.empty()) {
    name += " " + words[0];
    words.erase(words.begin());
  }
  for (const auto& commands : {LocalCommands(), ConfigCommands()}) {
    for (const Command& command : commands) {
      if (command.shape.name == name) {
        const auto options = ReadOptions(command.shape, words);
        return options ? command.run(*options) : kUsage;
      }
    }
  }
  PrintUsage(std::cerr);
  return kUsage;
}

}  // namespace

}  // namespace pimentospar::ctl

int main(int argc, char** argv) {
  return pimentospar::ctl::Run(std::vector<std::string>(argv + 1, argv + argc));
}
