#pragma once

#include <string>
#include <vector>

#include <settings/Fault.h>
#include <settings/Settings.h>
#include <tl/expected.hpp>

namespace settings {

/** The settings, or all faults found. */
using LoadResult = tl::expected<Settings, std::vector<Fault>>;

/** Reads and validates a settings file. */
LoadResult loadFile(const std::string &path);

/** Parses and validates settings in YAML; `file` is only used in faults. */
LoadResult parse(const std::string &yaml, const std::string &file);

} // namespace settings
