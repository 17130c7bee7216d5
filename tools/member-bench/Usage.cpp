#include "Usage.h"

#include <cstdio>
#include <ctime>
#include <fstream>

#include <unistd.h>

base::Millis cpuTime()
{
    timespec time = {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return base::Millis::fromMicros(time.tv_sec * 1'000'000LL + time.tv_nsec / 1000);
}

std::size_t residentBytes()
{
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void report(const char *name, double value, const char *unit)
{
    std::printf("  %-44s %12.3f %s\n", name, value, unit);
    std::fflush(stdout);
}
