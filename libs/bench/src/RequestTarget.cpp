#include <bench/RequestTarget.h>

namespace bench {

RequestTarget RequestTarget::parse(std::string_view text)
{
    RequestTarget target;
    const auto mark = text.find('?');
    target.path_ = text.substr(0, mark);
    std::string_view rest = mark == std::string_view::npos ? "" : text.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view field = rest.substr(0, end);
        const auto equals = field.find('=');
        const std::string_view value =
                equals == std::string_view::npos ? "" : field.substr(equals + 1);
        target.query_[std::string(field.substr(0, equals))] = value;
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return target;
}

} // namespace bench
