#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <base/Error.h>
#include <base/Random.h>
#include <bench/RequestClass.h>

namespace YAML { // NOLINT(readability-identifier-naming): name of yaml-cpp
class Node;
}

namespace bench {

/** Weighted request classes of a load. */
struct RequestMix
{
    std::vector<RequestClass> classes_;

    /** Parses a sequence of classes; fails with "bad-mix" and the line and field at fault. */
    static base::Result<RequestMix> parse(const YAML::Node &classes);

    /** Parses YAML text: a mapping with the key "classes". */
    static base::Result<RequestMix> parseText(const std::string &text);

    /** Index of a random class, by weight. Precondition: classes_ is not empty. */
    std::size_t pick(base::Random &random) const;

    bool operator==(const RequestMix &) const = default;
};

} // namespace bench
