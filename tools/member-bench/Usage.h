#pragma once

#include <cstddef>

#include <base/Millis.h>

/** Processor time of this process so far. */
base::Millis processorTime();

/** Resident memory of this process in bytes. */
std::size_t residentBytes();

/** Prints one figure as "name: value unit". */
void report(const char *name, double value, const char *unit);
