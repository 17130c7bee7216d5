#include <allowance/Codec.h>

#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include <allowance/Answer.h>
#include <allowance/Ask.h>
#include <allowance/Group.h>
#include <allowance/HandOver.h>

namespace allowance {
namespace {

using ItemFields =
        std::tuple<std::string, float, float, float, float, float, std::uint32_t, std::uint64_t>;
using AskFields = std::tuple<std::uint32_t, std::string, std::uint64_t, std::uint64_t,
                             std::vector<ItemFields>>;
using GrantFields = std::tuple<std::string, float, float, float, std::uint32_t, std::int64_t, bool>;
using AnswerFields = std::tuple<std::uint32_t, std::uint64_t, bool, std::int64_t,
                                std::vector<GrantFields>, std::string>;
using PartFields = std::tuple<std::string, std::uint64_t, double, double, double, std::int64_t>;
using StateFields = std::tuple<std::string, double, double, std::vector<PartFields>>;
using HandOverFields = std::tuple<std::uint32_t, std::uint64_t, std::vector<StateFields>>;

template<typename Fields>
std::string pack(const Fields &fields)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, fields);
    return std::string(buffer.data(), buffer.size());
}

auto malformed()
{
    return base::fail("bad-allowance-message", "message of an allotter or wallet is malformed");
}

template<typename Fields>
base::Result<Fields> unpack(std::string_view bytes)
{
    try {
        std::size_t used = 0;
        const msgpack::unpack_limit limit(65'536, 16, 1024, 1024, 0, 8);
        const auto handle =
                msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, limit);
        if (used != bytes.size() || handle.get().type != msgpack::type::ARRAY
            || handle.get().via.array.size != std::tuple_size_v<Fields>)
            return malformed();
        return handle.get().as<Fields>();
    } catch (const msgpack::unpack_error &) {
        return malformed();
    } catch (const msgpack::type_error &) {
        return malformed();
    }
}

/** Rounded down, so that nothing grows on its way. */
float down(double value)
{
    const auto rounded = static_cast<float>(value);
    return static_cast<double>(rounded) > value ? std::nextafterf(rounded, 0) : rounded;
}

/** Rounded up: what a daemon says it holds is never too little. */
float up(double value)
{
    const auto rounded = static_cast<float>(value);
    return static_cast<double>(rounded) < value ? std::nextafterf(rounded, INFINITY) : rounded;
}

template<typename... Values>
bool areAmounts(Values... values)
{
    return ((std::isfinite(values) && values >= 0) && ...);
}

} // namespace

std::string encode(const Ask &ask)
{
    std::vector<ItemFields> items;
    items.reserve(ask.items_.size());
    for (const auto &item : ask.items_) {
        items.emplace_back(item.customer_, up(item.reserveRate_), up(item.stock_), up(item.level_),
                           down(item.returned_), down(item.demand_), item.held_,
                           item.answeredNumber_);
    }
    return pack(AskFields(ask.group_, ask.daemon_, ask.generation_, ask.number_, items));
}

base::Result<Ask> decodeAsk(std::string_view bytes)
{
    auto fields = unpack<AskFields>(bytes);
    if (!fields)
        return tl::unexpected(fields.error());
    auto &[group, daemon, generation, number, items] = *fields;
    Ask ask{group, std::move(daemon), generation, number, {}};
    if (group >= groupCount)
        return malformed();
    for (auto &[customer, reserveRate, stock, level, returned, demand, held, answered] : items) {
        if (!areAmounts(reserveRate, stock, level, returned, demand))
            return malformed();
        ask.items_.push_back(
                {std::move(customer), reserveRate, stock, level, returned, demand, held, answered});
    }
    return ask;
}

std::string encode(const Answer &answer)
{
    std::vector<GrantFields> grants;
    const auto *granted = std::get_if<Granted>(&answer.body_);
    const auto *refused = std::get_if<NotAllotter>(&answer.body_);
    if (granted) {
        for (const auto &grant : granted->grants_) {
            grants.emplace_back(grant.customer_, down(grant.reserveRate_), down(grant.stock_),
                                down(grant.refill_), grant.forHeld_, grant.dryFor_.count(),
                                grant.isOverAllowance_);
        }
    }
    return pack(AnswerFields(answer.group_, answer.number_, granted != nullptr,
                             granted ? granted->nextAskIn_.count() : 0, grants,
                             refused ? refused->hint_ : std::string()));
}

base::Result<Answer> decodeAnswer(std::string_view bytes)
{
    auto fields = unpack<AnswerFields>(bytes);
    if (!fields)
        return tl::unexpected(fields.error());
    auto &[group, number, isGranted, nextAskIn, grants, hint] = *fields;
    if (group >= groupCount)
        return malformed();
    if (!isGranted)
        return Answer{group, number, NotAllotter{std::move(hint)}};
    Granted granted{{}, base::Millis(nextAskIn)};
    for (auto &[customer, reserveRate, stock, refill, forHeld, dryFor, isOver] : grants) {
        if (!areAmounts(reserveRate, stock, refill))
            return malformed();
        granted.grants_.push_back({std::move(customer), reserveRate, stock, refill, forHeld,
                                   base::Millis(dryFor), isOver});
    }
    return Answer{group, number, std::move(granted)};
}

std::string encode(const HandOver &handOver)
{
    std::vector<StateFields> customers;
    for (const auto &state : handOver.customers_) {
        std::vector<PartFields> parts;
        for (const auto &part : state.parts_) {
            parts.emplace_back(part.daemon_, part.generation_, part.reserveRate_, part.stock_,
                               part.demand_, part.expiresIn_.count() + 1);
        }
        customers.emplace_back(state.customer_, state.level_, state.onTheirWay_, parts);
    }
    return pack(HandOverFields(handOver.group_, handOver.end_, customers));
}

base::Result<HandOver> decodeHandOver(std::string_view bytes)
{
    auto fields = unpack<HandOverFields>(bytes);
    if (!fields)
        return tl::unexpected(fields.error());
    auto &[group, end, customers] = *fields;
    if (group >= groupCount)
        return malformed();
    HandOver handOver{group, end, {}};
    for (auto &[customer, level, onTheirWay, parts] : customers) {
        CustomerState state{std::move(customer), level, onTheirWay, {}};
        if (!areAmounts(level, onTheirWay))
            return malformed();
        for (auto &[daemon, generation, reserveRate, stock, demand, expiresIn] : parts) {
            if (!areAmounts(reserveRate, stock, demand))
                return malformed();
            state.parts_.push_back({std::move(daemon), generation, reserveRate, stock, demand,
                                    base::Millis(expiresIn)});
        }
        handOver.customers_.push_back(std::move(state));
    }
    return handOver;
}

} // namespace allowance
