#pragma once

#include <initializer_list>
#include <string_view>

#include <yaml-cpp/yaml.h>

namespace bench::details {

/** Throws YAML::RepresentationException, with its line, for a field that is not among the known. */
void requireKnownFields(const YAML::Node &node, std::initializer_list<std::string_view> known);

/** Throws YAML::RepresentationException with the line of the node. */
[[noreturn]] void rejectValue(const YAML::Node &node, const std::string &message);

} // namespace bench::details
