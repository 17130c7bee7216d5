#pragma once

#include <map>
#include <string>
#include <string_view>

#include <model/Customer.h>
#include <model/RequestClass.h>
#include <model/RetryTolerance.h>
#include <model/Revision.h>
#include <model/Service.h>

namespace model {

/** All that the accepted release notes say at one revision. Immutable once shared. */
struct Config
{
    Revision revision_ = 0;
    std::map<std::string, Service> services_;
    std::map<std::string, RequestClass> classes_;           ///< by class name
    std::map<std::string, Customer> customers_;             ///< by customer name
    std::map<std::string, RetryTolerance> retryTolerances_; ///< by class name

    /**
     * Class of a request: the longest matching path prefix wins, an exact method before any.
     * Returns the default class (lowest rank, never retried) when none matches.
     */
    const RequestClass &classify(std::string_view service, std::string_view method,
                                 std::string_view path) const;

    bool operator==(const Config &) const = default;
};

} // namespace model
