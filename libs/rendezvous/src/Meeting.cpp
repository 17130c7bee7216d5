#include <rendezvous/Meeting.h>

#include <nlohmann/json.hpp>

namespace rendezvous {

namespace {

using nlohmann::json;

constexpr std::size_t longestRecord = 512;

std::string textIn(const json &value, const char *field)
{
    const auto found = value.find(field);
    return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

base::Result<Meeting> Meeting::parse(std::string_view text)
{
    if (text.size() > longestRecord)
        return base::fail("bad-meeting", "the record is longer than 512 bytes");
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return base::fail("bad-meeting", "the record is no JSON object");
    auto address = model::Address::parse(textIn(value, "control"));
    if (!address)
        return base::fail("bad-meeting", "'control': " + address.error().message_);
    Meeting meeting{textIn(value, "id"), textIn(value, "dataCentre"), *address};
    if (meeting.id_.empty())
        return base::fail("bad-meeting", "'id' is missing");
    return meeting;
}

std::string Meeting::text() const
{
    return json{{"id", id_}, {"dataCentre", dataCentre_}, {"control", controlAddress_.text()}}.dump(
            -1, ' ', false, json::error_handler_t::replace);
}

} // namespace rendezvous
