#include <note/Parse.h>

#include <algorithm>
#include <limits>
#include <map>

#include "details/Values.h"
#include "details/YamlReader.h"
#include <note/Limits.h>

namespace note {

namespace {

using details::Field;
using details::YamlReader;

constexpr double defaultRatio = 0.1;

/** A change with the field that defines it, for the location of faults found later. */
struct LocatedChange
{
    Change change_;
    Field field_;
};

/** Clamps a value to the maximum of the model's type, which the range check rejects. */
template<typename T>
T clamped(std::uint64_t value)
{
    constexpr auto max = std::numeric_limits<T>::max();
    return static_cast<T>(std::min<std::uint64_t>(value, max));
}

class NoteParser
{
public:
    explicit NoteParser(const std::string &file)
        : reader_(file)
    {}

    ParseResult parse(std::string_view text)
    {
        if (text.size() > limits::noteBytes) {
            reader_.addFault(0, "",
                             "is larger than " + std::to_string(limits::noteBytes) + " bytes");
            return tl::unexpected(reader_.takeFaults());
        }
        ReleaseNote note;
        try {
            note = readNote({YAML::Load(std::string(text)), "", 1});
        } catch (const YAML::Exception &error) {
            // The YAML library throws on errors; converts them to faults.
            const auto line = error.mark.is_null() ? 0 : error.mark.line + 1;
            reader_.addFault(line, "", "not YAML: " + error.msg);
        }
        if (auto faults = reader_.takeFaults(); !faults.empty())
            return tl::unexpected(std::move(faults));
        return note;
    }

private:
    ReleaseNote readNote(const Field &root)
    {
        ReleaseNote note;
        if (!reader_.checkMapping(root, {"id", "base", "added", "changed", "withdrawn"}))
            return note;
        const auto id = YamlReader::child(root, "id");
        note.id_ = reader_.text(id, true);
        if (id.isPresent() && !details::isValidName(note.id_))
            reader_.addFault(id,
                             "must be 1 to 64 letters, digits, '-', '_' or '.', starting with a "
                             "letter or digit");
        note.base_ = reader_.number(YamlReader::child(root, "base"), true, 0);
        readDefinitions(YamlReader::child(root, "added"), Action::Add);
        readDefinitions(YamlReader::child(root, "changed"), Action::Change);
        readWithdrawn(YamlReader::child(root, "withdrawn"));
        checkAndAddChanges(note);
        return note;
    }

    void readDefinitions(const Field &section, Action action)
    {
        if (!section.isPresent()
            || !reader_.checkMapping(section, {"services", "classes", "customers", "retries"}))
            return;
        const auto each = [&](const char *key, auto function) {
            reader_.forEach(YamlReader::child(section, key), [&](const Field &field) {
                if (const auto value = function(field))
                    addChange(action, field, *value);
            });
        };
        each("services", [this](const Field &f) { return service(f); });
        each("classes", [this](const Field &f) { return requestClass(f); });
        each("customers", [this](const Field &f) { return customer(f); });
        each("retries", [this](const Field &f) { return retry(f); });
    }

    void readWithdrawn(const Field &section)
    {
        if (!section.isPresent()
            || !reader_.checkMapping(section, {"services", "classes", "customers", "retries"}))
            return;
        const auto each = [&](const char *key, ItemKind kind) {
            reader_.forEach(YamlReader::child(section, key), [&](const Field &field) {
                const auto name = reader_.text(field, true);
                if (field.node_.IsScalar() && !details::isValidName(name))
                    reader_.addFault(field, "is not a valid name");
                changes_.push_back({{Action::Withdraw, {kind, name}, std::nullopt}, field});
            });
        };
        each("services", ItemKind::Service);
        each("classes", ItemKind::RequestClass);
        each("customers", ItemKind::Customer);
        each("retries", ItemKind::Retry);
    }

    std::optional<ItemValue> service(const Field &field)
    {
        // A service may be given as a bare name instead of a mapping.
        if (field.node_.IsScalar())
            return model::Service{field.node_.Scalar()};
        if (!reader_.checkMapping(field, {"name"}))
            return std::nullopt;
        return model::Service{reader_.text(YamlReader::child(field, "name"), true)};
    }

    std::optional<ItemValue> requestClass(const Field &field)
    {
        if (!reader_.checkMapping(field, {"name", "service", "match", "rank", "idempotent",
                                          "deadline", "public"}))
            return std::nullopt;
        model::RequestClass result;
        result.name_ = reader_.text(YamlReader::child(field, "name"), true);
        result.service_ = reader_.text(YamlReader::child(field, "service"), true);
        result.pathPrefix_ = "/";
        if (const auto match = YamlReader::child(field, "match");
            match.isPresent() && reader_.checkMapping(match, {"method", "path"})) {
            result.method_ = reader_.text(YamlReader::child(match, "method"), false);
            if (const auto path = YamlReader::child(match, "path"); path.isPresent())
                result.pathPrefix_ = reader_.text(path, false);
        }
        result.rank_ = clamped<int>(reader_.number(YamlReader::child(field, "rank"), true, 0));
        result.idempotent_ = reader_.boolean(YamlReader::child(field, "idempotent"), true);
        readDeadline(field, result);
        const auto isPublic = YamlReader::child(field, "public");
        result.isPublic_ = isPublic.isPresent() && reader_.boolean(isPublic, false);
        return result;
    }

    void readDeadline(const Field &field, model::RequestClass &result)
    {
        const auto deadline = YamlReader::child(field, "deadline");
        const auto text = reader_.text(deadline, true);
        if (!deadline.isPresent() || !deadline.node_.IsScalar())
            return;
        if (const auto parsed = details::parseDuration(text))
            result.deadline_ = *parsed;
        else
            reader_.addFault(deadline, parsed.error().message_);
    }

    std::optional<ItemValue> customer(const Field &field)
    {
        if (!reader_.checkMapping(field,
                                  {"name", "share", "limit", "rank", "keys", "rate", "burst"}))
            return std::nullopt;
        const auto share = reader_.number(YamlReader::child(field, "share"), false, 1);
        const auto limit = reader_.number(YamlReader::child(field, "limit"), false, 0);
        model::Customer result{.name_ = reader_.text(YamlReader::child(field, "name"), true),
                               .share_ = clamped<std::uint32_t>(share),
                               .maxConcurrent_ = clamped<std::uint32_t>(limit)};
        if (const auto rank = YamlReader::child(field, "rank"); rank.isPresent())
            result.rank_ = clamped<int>(reader_.number(rank, false, 0));
        readKeys(YamlReader::child(field, "keys"), result);
        readAllowance(field, result);
        return result;
    }

    /** The faults don't repeat the text, which may be a key by mistake. */
    void readKeys(const Field &list, model::Customer &customer)
    {
        if (list.isPresent() && list.node_.IsSequence()
            && list.node_.size() > limits::keysPerCustomer) {
            reader_.addFault(list,
                             "has more than " + std::to_string(limits::keysPerCustomer) + " keys");
            return;
        }
        reader_.forEach(list, [&](const Field &field) {
            const auto digest = field.node_.IsScalar()
                                        ? model::KeyDigest::parse(field.node_.Scalar())
                                        : std::nullopt;
            if (!digest)
                reader_.addFault(field, std::string(details::digestRequirement));
            else if (std::ranges::find(customer.keys_, *digest) != customer.keys_.end())
                reader_.addFault(field, "is given twice");
            else
                customer.keys_.push_back(*digest);
        });
    }

    void readAllowance(const Field &field, model::Customer &customer)
    {
        const auto rate = YamlReader::child(field, "rate");
        const auto burst = YamlReader::child(field, "burst");
        if (!rate.isPresent() && !burst.isPresent())
            return;
        if (!rate.isPresent() || !burst.isPresent()) {
            reader_.addFault(rate.isPresent() ? rate : burst,
                             "rate and burst must be given together");
            return;
        }
        customer.allowance_ = {reader_.real(rate, 1), reader_.real(burst, 0)};
    }

    std::optional<ItemValue> retry(const Field &field)
    {
        if (!reader_.checkMapping(field, {"class", "budget", "ratio", "scope"}))
            return std::nullopt;
        RetryRule rule;
        rule.tolerance_.requestClass_ = reader_.text(YamlReader::child(field, "class"), true);
        rule.tolerance_.budget_ =
                clamped<std::uint32_t>(reader_.number(YamlReader::child(field, "budget"), true, 0));
        rule.tolerance_.ratio_ = reader_.real(YamlReader::child(field, "ratio"), defaultRatio);
        const auto scope = YamlReader::child(field, "scope");
        const auto scopeText = reader_.text(scope, false);
        rule.callsBelowOnly_ = scopeText == "calls-below";
        if (scope.isPresent() && scopeText != "calls-below" && scopeText != "whole-chain")
            reader_.addFault(scope, "must be whole-chain or calls-below");
        return rule;
    }

    void addChange(Action action, const Field &field, const ItemValue &value)
    {
        for (const auto &fault : details::checkValue(value))
            reportValueFault(field, fault);
        changes_.push_back({{action, keyOf(value), value}, field});
    }

    /** Skips missing and unreadable fields, which have been reported with a more specific message.
     */
    void reportValueFault(const Field &item, const details::ValueFault &fault)
    {
        Field field = item;
        std::string remainingPath = fault.field_;
        while (!remainingPath.empty() && field.node_.IsMap()) {
            const auto dot = std::min(remainingPath.find('.'), remainingPath.size());
            field = YamlReader::child(field, remainingPath.substr(0, dot).c_str());
            remainingPath = dot < remainingPath.size() ? remainingPath.substr(dot + 1) : "";
        }
        if (field.isPresent() && field.node_.IsScalar())
            reader_.addFault(field, fault.message_);
    }

    void checkAndAddChanges(ReleaseNote &note)
    {
        if (changes_.empty())
            reader_.addFault(1, "", "adds, changes and withdraws nothing");
        if (changes_.size() > limits::changesPerNote)
            reader_.addFault(
                    1, "", "has more than " + std::to_string(limits::changesPerNote) + " changes");
        std::map<ItemKey, const LocatedChange *> changesByKey;
        for (const auto &change : changes_) {
            const auto [it, isNew] = changesByKey.emplace(change.change_.key_, &change);
            if (!isNew)
                reader_.addFault(change.field_, change.change_.key_.text()
                                                        + " occurs twice, first at line "
                                                        + std::to_string(it->second->field_.line_));
        }
        for (const auto &[key, change] : changesByKey)
            note.changes_.push_back(change->change_);
        for (const auto &fault : details::contradictions(note))
            reader_.addFault(changesByKey.at(fault.key_)->field_, fault.message_);
    }

    YamlReader reader_;
    std::vector<LocatedChange> changes_;
};

} // namespace

ParseResult parseNote(std::string_view text, const std::string &file)
{
    return NoteParser(file).parse(text);
}

} // namespace note
