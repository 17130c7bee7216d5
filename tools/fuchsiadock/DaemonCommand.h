#pragma once

namespace fuchsiadock {

/** `fuchsiadock daemon`: runs one daemon until SIGTERM or SIGINT. Returns the exit code. */
int runDaemon(int argc, char **argv);

} // namespace fuchsiadock
