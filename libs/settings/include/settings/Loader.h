#pragma once

#include <string>
#include <vector>

#include <settings/Fault.h>
#include <settings/Settings.h>
#include <tl/expected.hpp>

namespace settings {

/** The settings, or every fault found. */
using LoadResult = tl::expected<Settings, std::vector<Fault>>;

/** Reads and checks a settings file. */
LoadResult loadFile(const std::string &path);

/** Checks settings in YAML; file is only used in the faults. */
LoadResult parse(const std::string &yaml, const std::string &file);

} // namespace settings
