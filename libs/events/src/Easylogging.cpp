// easylogging++ is distributed as source; this file compiles it once for the whole program.
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
