#pragma once

#include <map>
#include <string>
#include <string_view>

#include <model/Customer.h>
#include <model/RequestClass.h>
#include <model/RetryTolerance.h>
#include <model/Revision.h>
#include <model/Route.h>
#include <model/Service.h>

namespace model {

/**
 * What operators have configured, at one revision: the accepted release notes, or the configuration
 * that the platform holds. Immutable once shared.
 */
struct Config
{
    /** Routes of one host by path prefix; a prefix begins and ends with '/'. */
    using HostRoutes = std::map<std::string, Route, std::less<>>;

    Revision revision_ = 0;
    std::map<std::string, Service> services_;
    std::map<std::string, RequestClass> classes_;           ///< by class name
    std::map<std::string, Customer> customers_;             ///< by customer name
    std::map<std::string, RetryTolerance> retryTolerances_; ///< by class name
    std::map<std::string, HostRoutes, std::less<>> routes_; ///< by host; only from the platform

    /**
     * Class of a request: the longest matching path prefix wins, an exact method before any.
     * Returns the default class (lowest rank, never retried) when none matches.
     */
    const RequestClass &classify(std::string_view service, std::string_view method,
                                 std::string_view path) const;

    /**
     * Route of a request: that of the host with the longest prefix of the path. Returns nullptr
     * when none matches. Takes time in the number of the path's segments.
     */
    const Route *route(std::string_view host, std::string_view path) const;

    bool operator==(const Config &) const = default;
};

} // namespace model
