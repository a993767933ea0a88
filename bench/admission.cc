// Part one drives AdmissionQueue and two baselines on a fake engine at several
// loads; part two drives TargetPicker and two baselines on fake targets whose
// reports lag. All times are virtual.
#include <popt.h>

#include <cstdlib>

#include "admission_runs.h"
#include "target_choice_runs.h"

namespace pimentospar::bench {
namespace {

bool ReadOptions(int argc, const char** argv, BenchOptions& options) {
  const poptOption table[] = {
      {"seed", 's', POPT_ARG_INT, &options.seed, 0, "first seed", "N"},
      {"seeds", 'n', POPT_ARG_INT, &options.seeds, 0, "number of seeds", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("bench-admission", argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  const bool valid =
      result == -1 && poptPeekArg(context) == nullptr && options.seeds > 0;
  if (!valid) {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  return valid;
}

}  // namespace
}  // namespace pimentospar::bench

int main(int argc, const char** argv) {
  pimentospar::bench::BenchOptions options;
  if (!pimentospar::bench::ReadOptions(argc, argv, options)) {
    return 2;
  }
  pimentospar::bench::PrintGoodput(options, 1.0);
  // The engine is four times slower than the costs that the queue starts with.
  pimentospar::bench::PrintGoodput(options, 0.25);
  pimentospar::bench::PrintAllShares(options);
  pimentospar::bench::PrintPicks(options);
  return EXIT_SUCCESS;
}
