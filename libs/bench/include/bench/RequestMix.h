#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <base/Error.h>
#include <base/Random.h>
#include <bench/RequestKind.h>

namespace YAML { // NOLINT(readability-identifier-naming): name of yaml-cpp
class Node;
}

namespace bench {

/** The classes of requests that a load consists of. */
struct RequestMix
{
    std::vector<RequestKind> kinds_;

    /** Reads a sequence of classes; fails with "bad-mix", naming the line and field. */
    static base::Result<RequestMix> parse(const YAML::Node &classes);

    /** Reads YAML text: a mapping with the key "classes". */
    static base::Result<RequestMix> parseText(const std::string &text);

    /** Index of a class, drawn by weight. Precondition: there is a class. */
    std::size_t pick(base::Random &random) const;

    bool operator==(const RequestMix &) const = default;
};

} // namespace bench
