#include <notesync/Update.h>

#include <stdexcept>

#include <base/Overloaded.h>
#include <nlohmann/json.hpp>
#include <note/Limits.h>
#include <note/Record.h>

namespace notesync {

namespace {

using nlohmann::json;

constexpr std::size_t announcementBytes = 4096;

std::uint64_t number(const json &value, const char *name)
{
    const auto &field = value.at(name);
    if (!field.is_number_unsigned())
        throw std::out_of_range(name);
    return field.get<std::uint64_t>();
}

json toJson(const Delta &delta)
{
    auto records = json::array();
    for (const auto &record : delta.records_)
        records.push_back(json{{"offset", record.offset_}, {"data", record.data_}});
    return json{{"from", delta.fromOffset_},
                {"to", delta.toOffset_},
                {"digest", delta.digest_},
                {"records", std::move(records)}};
}

Delta deltaFromJson(const json &value)
{
    Delta delta{
            number(value, "from"), number(value, "to"), value.at("digest").get<std::string>(), {}};
    auto expected = delta.fromOffset_;
    for (const auto &entry : value.at("records")) {
        const logclient::LogRecord record{number(entry, "offset"),
                                          entry.at("data").get<std::string>()};
        if (record.offset_ < expected || record.offset_ >= delta.toOffset_)
            throw std::out_of_range("offset");
        expected = record.offset_ + 1;
        delta.records_.push_back(record);
    }
    return delta;
}

Update updateFromJson(const json &value)
{
    if (value.contains("same"))
        return UpToDate{};
    if (value.contains("delta"))
        return deltaFromJson(value.at("delta"));
    const auto state = note::decodeState(value.at("whole").get<std::string>());
    if (!state)
        throw std::out_of_range(state.error().message_);
    return FullState{*state};
}

json parse(std::string_view text, std::size_t maxBytes)
{
    if (text.size() > maxBytes)
        throw std::out_of_range("size");
    return json::parse(text);
}

} // namespace

std::string encodeUpdate(const Update &update)
{
    const auto value =
            std::visit(base::Overloaded{
                               [](const UpToDate &) {
                                   return json{{"same", true}};
                               },
                               [](const Delta &delta) {
                                   return json{{"delta", toJson(delta)}};
                               },
                               [](const FullState &fullState) {
                                   return json{{"whole", note::encodeState(fullState.state_)}};
                               },
                       },
                       update);
    // Records on the log may hold invalid UTF-8, which must not make dump() throw.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<Update> decodeUpdate(std::string_view text)
{
    try {
        return updateFromJson(parse(text, 2 * note::limits::recordBytes));
    } catch (const std::exception &error) {
        return base::fail("bad-update", std::string("not an update: ") + error.what());
    }
}

std::string encodeAnnouncement(const Announcement &announcement)
{
    return json{{"daemon", announcement.daemonId_},
                {"next", announcement.nextOffset_},
                {"revision", announcement.revision_},
                {"digest", announcement.digest_}}
            .dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<Announcement> decodeAnnouncement(std::string_view text)
{
    try {
        const auto value = parse(text, announcementBytes);
        return Announcement{value.at("daemon").get<std::string>(), number(value, "next"),
                            number(value, "revision"), value.at("digest").get<std::string>()};
    } catch (const std::exception &error) {
        return base::fail("bad-announcement", std::string("not an announcement: ") + error.what());
    }
}

} // namespace notesync
