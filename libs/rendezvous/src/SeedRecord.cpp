#include <rendezvous/SeedRecord.h>

#include <nlohmann/json.hpp>

namespace rendezvous {

namespace {

using nlohmann::json;

constexpr std::size_t maxRecordBytes = 512;

std::string stringField(const json &value, const char *field)
{
    const auto found = value.find(field);
    return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

base::Result<SeedRecord> SeedRecord::parse(std::string_view text)
{
    if (text.size() > maxRecordBytes)
        return base::fail("bad-meeting", "record longer than 512 bytes");
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return base::fail("bad-meeting", "record is not a JSON object");
    auto address = model::Address::parse(stringField(value, "control"));
    if (!address)
        return base::fail("bad-meeting", "'control': " + address.error().message_);
    SeedRecord seed{stringField(value, "id"), stringField(value, "dataCentre"), *address};
    if (seed.id_.empty())
        return base::fail("bad-meeting", "'id' is missing");
    return seed;
}

std::string SeedRecord::text() const
{
    return json{{"id", id_}, {"dataCentre", dataCentre_}, {"control", controlAddress_.text()}}.dump(
            -1, ' ', false, json::error_handler_t::replace);
}

} // namespace rendezvous
