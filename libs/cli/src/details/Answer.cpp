#include "details/Answer.h"

#include "details/Print.h"
#include <cli/ExitCode.h>

namespace cli::details {

nlohmann::json parseBody(const net::HttpResponse &answer)
{
    auto value = nlohmann::json::parse(answer.body_, nullptr, false);
    return value.is_object() ? value : nlohmann::json::object();
}

std::vector<nlohmann::json> objectsIn(const nlohmann::json &value, const char *name)
{
    std::vector<nlohmann::json> entries;
    if (!value.is_object() || !value.contains(name) || !value.at(name).is_array())
        return entries;
    for (const auto &entry : value.at(name)) {
        if (entry.is_object())
            entries.push_back(entry);
    }
    return entries;
}

int reportFailure(const Context &context, const std::string &daemon, const net::CallResult &result)
{
    if (!result) {
        context.err_ << "no answer from the daemon at " << daemon << ": " << result.error().detail_
                     << "\n";
        return Unreachable;
    }
    const auto message = fieldText(parseBody(*result), "message");
    context.err_ << "the daemon at " << daemon << " answered " << result->status_ << ": "
                 << (message.empty() ? "no reason given" : message) << "\n";
    return Unreachable;
}

} // namespace cli::details
