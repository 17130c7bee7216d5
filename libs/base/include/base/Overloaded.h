#pragma once

namespace base {

/** Visitor made of lambdas, one for each alternative of a std::variant. */
template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace base
