#pragma once

#include <map>
#include <string>
#include <string_view>

#include <model/Customer.h>
#include <model/KeyDigest.h>
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
    std::map<KeyDigest, std::string> customerByKey_; ///< name of the customer that holds the key
    bool requiresKeys_ = false; ///< requests that are not public need a key of a customer

    /**
     * Returns the class of a request: the longest matching path prefix wins; at equal length a
     * class with a method wins over one without. Returns the default class (lowest rank, never
     * retried) if none matches.
     */
    const RequestClass &classify(std::string_view service, std::string_view method,
                                 std::string_view path) const;

    /**
     * Adds or replaces a customer and its keys; from then on requests need a key if it has any.
     * A key that another customer holds stays with that customer.
     */
    void addCustomer(Customer customer);

    /** Returns the customer that holds the key, or nullptr if none does. */
    const Customer *customerOf(const KeyDigest &key) const;

    /**
     * Returns the route of the host with the longest matching path prefix, or nullptr if none
     * matches. Run time is linear in the number of path segments.
     */
    const Route *route(std::string_view host, std::string_view path) const;

    bool operator==(const Config &) const = default;
};

} // namespace model
