#include <details/Fields.h>

namespace membership::details {
namespace {

/** One year, far below the overflow of base::Millis. */
constexpr std::uint64_t maxMillis = 365ULL * 24 * 3600 * 1000;

std::span<const msgpack::object> elements(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY)
        throw msgpack::type_error();
    return {object.via.array.ptr, object.via.array.size};
}

} // namespace

Fields::Fields(const msgpack::object &array)
    : objects_(elements(array))
{}

const msgpack::object &Fields::at(std::size_t index) const
{
    if (index >= objects_.size())
        throw msgpack::type_error();
    return objects_[index];
}

std::uint64_t Fields::number(std::size_t index, std::uint64_t maximum) const
{
    const auto value = at(index).as<std::uint64_t>();
    if (value > maximum)
        throw msgpack::type_error();
    return value;
}

std::string Fields::name(std::size_t index) const
{
    auto text = at(index).as<std::string>();
    if (text.size() > maxNameBytes)
        throw msgpack::type_error();
    return text;
}

model::Address Fields::address(std::size_t index) const
{
    const auto parsed = model::Address::parse(name(index));
    if (!parsed)
        throw msgpack::type_error();
    return *parsed;
}

base::Millis Fields::millis(std::size_t index) const
{
    return base::Millis(static_cast<std::int64_t>(number(index, maxMillis)));
}

std::span<const msgpack::object> Fields::array(std::size_t index) const
{
    return elements(at(index));
}

} // namespace membership::details
