#include <rendezvous/RetiredRecord.h>

#include <nlohmann/json.hpp>

namespace rendezvous {

namespace {

using nlohmann::json;

constexpr std::size_t maxRecordBytes = 512;
constexpr std::string_view keyPrefix = "retired/";

bool hasNumbers(const json &value)
{
    return value.is_object() && value.contains("instance") && value.contains("startedAt")
           && value.contains("lastSequence") && value["instance"].is_number_unsigned()
           && value["startedAt"].is_number_integer() && value["lastSequence"].is_number_unsigned();
}

} // namespace

std::string RetiredRecord::keyOf(const std::string &daemonId)
{
    return std::string(keyPrefix) + daemonId;
}

bool RetiredRecord::isKey(std::string_view key)
{
    return key.starts_with(keyPrefix);
}

base::Result<model::RetiredBackend> RetiredRecord::parse(std::string_view text)
{
    if (text.size() > maxRecordBytes)
        return base::fail("bad-retired", "record longer than 512 bytes");
    const auto value = json::parse(text, nullptr, false);
    if (!hasNumbers(value))
        return base::fail("bad-retired",
                          "record needs the numbers 'instance', 'startedAt' and 'lastSequence'");
    return model::RetiredBackend{.instanceHash_ = value["instance"].get<std::uint64_t>(),
                                 .startedAt_ = value["startedAt"].get<std::int64_t>(),
                                 .lastSequence_ = value["lastSequence"].get<std::uint64_t>()};
}

std::string RetiredRecord::text(const model::RetiredBackend &retired)
{
    return json{{"instance", retired.instanceHash_},
                {"startedAt", retired.startedAt_},
                {"lastSequence", retired.lastSequence_}}
            .dump();
}

} // namespace rendezvous
