#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace once {

/** Complete answer of a backend server. Immutable once shared. */
struct Answer
{
    int status_ = 200;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    /** Approximate memory held, in bytes. */
    std::size_t bytes() const;

    bool operator==(const Answer &) const = default;
};

/** Answer shared by its record and all waiters, so that bodies are never copied. */
using AnswerPtr = std::shared_ptr<const Answer>;

} // namespace once
