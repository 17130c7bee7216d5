#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include <msgpack.hpp>

#include <base/Millis.h>
#include <model/Address.h>

namespace membership::details {

/** Longer names are rejected, so that every record fits into a datagram. */
inline constexpr std::size_t maxNameBytes = 64;

/** Typed access to the elements of a decoded array; throws msgpack::type_error. */
class Fields
{
public:
    explicit Fields(const msgpack::object &array);

    /** Whether there is an element at the index; records of earlier versions are shorter. */
    bool has(std::size_t index) const { return index < objects_.size(); }

    const msgpack::object &at(std::size_t index) const;
    std::uint64_t number(std::size_t index, std::uint64_t maximum = UINT64_MAX) const;
    std::string name(std::size_t index) const;
    model::Address address(std::size_t index) const;
    base::Millis millis(std::size_t index) const;
    std::span<const msgpack::object> array(std::size_t index) const;

private:
    std::span<const msgpack::object> objects_;
};

} // namespace membership::details
