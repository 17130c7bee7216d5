#include <details/YamlFields.h>

#include <algorithm>

namespace bench::details {

void requireKnownFields(const YAML::Node &node, std::initializer_list<std::string_view> known)
{
    for (const auto &entry : node) {
        const auto name = entry.first.as<std::string>();
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            throwInvalidValue(entry.first, "unknown field \"" + name + "\"");
        }
    }
}

void throwInvalidValue(const YAML::Node &node, const std::string &message)
{
    throw YAML::RepresentationException(node.Mark(), message);
}

} // namespace bench::details
