#pragma once

#include <cstddef>

#include <base/Millis.h>

/** CPU time used by this process. */
base::Millis cpuTime();

/** Resident memory of this process in bytes. */
std::size_t residentBytes();

/** Prints a line with name, value and unit. */
void report(const char *name, double value, const char *unit);
