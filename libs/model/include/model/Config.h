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
 * Configuration at one revision, built from the accepted release notes or received from the
 * platform. Immutable once shared.
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
     * Returns the class of a request: the longest matching path prefix wins; at equal length a
     * class with a method wins over one without. Returns the default class (lowest rank, never
     * retried) if none matches.
     */
    const RequestClass &classify(std::string_view service, std::string_view method,
                                 std::string_view path) const;

    /**
     * Returns the route of the host with the longest matching path prefix, or nullptr if none
     * matches. Run time is linear in the number of path segments.
     */
    const Route *route(std::string_view host, std::string_view path) const;

    bool operator==(const Config &) const = default;
};

} // namespace model
