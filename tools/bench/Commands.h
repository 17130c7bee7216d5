#pragma once

namespace bench {

/** Subcommands of fuchsiadock-bench; each parses its own arguments and returns the exit code. */
int runLog(int argc, char **argv);
int runBackend(int argc, char **argv);
int runLoad(int argc, char **argv);
int runExperiment(int argc, char **argv);
int runLatency(int argc, char **argv);
int runReplay(int argc, char **argv);

} // namespace bench
