#pragma once

namespace fuchsiadock {

/** `fuchsiadock daemon`: runs one daemon until it is told to end. Returns the exit code. */
int runDaemon(int argc, char **argv);

} // namespace fuchsiadock
