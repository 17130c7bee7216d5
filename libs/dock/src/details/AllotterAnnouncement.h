#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <net/HttpRequest.h>

namespace dock::details {

/** What an allotter tells the daemons that are asked first, with each renewal of its authority. */
struct AllotterAnnouncement
{
    /** Value of header::kind. */
    static constexpr const char *kind = "allowance-tenure";

    std::uint32_t group_ = 0;
    std::string id_;                   ///< of the allotter
    std::optional<std::uint64_t> end_; ///< of the group's partition; earlier versions tell none

    net::HttpRequest encode() const;

    static std::optional<AllotterAnnouncement> parse(const net::HttpRequest &request);

    bool operator==(const AllotterAnnouncement &) const = default;
};

} // namespace dock::details
