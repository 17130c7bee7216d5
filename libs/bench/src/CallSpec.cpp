#include <bench/CallSpec.h>

#include <sstream>
#include <vector>

namespace bench {

namespace {

std::vector<std::string> splitWords(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    std::vector<std::string> result;
    for (std::string word; stream >> word;) {
        result.push_back(word);
    }
    return result;
}

} // namespace

base::Result<CallSpec> CallSpec::parse(std::string_view text)
{
    CallSpec call;
    std::vector<std::string> parts = splitWords(text);
    if (!parts.empty() && parts.front().front() == '/' && parts.front().back() == ':') {
        call.pathPrefix_ = parts.front().substr(0, parts.front().size() - 1);
        parts.erase(parts.begin());
    }
    if (parts.size() == 4 && parts.back() == "once") {
        call.atMostOnce_ = true;
        parts.pop_back();
    }
    if (parts.size() != 3 || parts[2].front() != '/') {
        return base::fail("bad-call", "expected \"[/prefix:] SERVICE METHOD /path [once]\", got \""
                                              + std::string(text) + "\"");
    }
    call.service_ = parts[0];
    call.method_ = parts[1];
    call.path_ = parts[2];
    return call;
}

bool CallSpec::appliesTo(std::string_view path) const
{
    return path.starts_with(pathPrefix_);
}

} // namespace bench
