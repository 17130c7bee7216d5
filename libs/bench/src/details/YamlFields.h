#pragma once

#include <initializer_list>
#include <string_view>

#include <yaml-cpp/yaml.h>

namespace bench::details {

/** Throws YAML::RepresentationException with the line of the first field that is not known. */
void requireKnownFields(const YAML::Node &node, std::initializer_list<std::string_view> known);

/** Throws YAML::RepresentationException with the line of the node. */
[[noreturn]] void throwInvalidValue(const YAML::Node &node, const std::string &message);

} // namespace bench::details
