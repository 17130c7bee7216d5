#include "details/YamlReader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include <note/Limits.h>

namespace note::details {

namespace {

constexpr std::size_t maxPrintedBytes = 40;

int lineOf(const YAML::Node &node, int fallback)
{
    const auto mark = node.Mark();
    return mark.is_null() ? fallback : mark.line + 1;
}

/** Truncates the text and replaces non-printable characters, for one line of output. */
std::string printable(const std::string &text)
{
    std::string result = text.substr(0, maxPrintedBytes);
    std::replace_if(
            result.begin(), result.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return result;
}

template<typename T>
bool parseEntire(const std::string &text, T &value)
{
    const auto *end = text.data() + text.size();
    const auto [parseEnd, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && parseEnd == end;
}

} // namespace

bool YamlReader::isFaultLimitReached() const
{
    return faults_.size() >= limits::faultsReported;
}

void YamlReader::addFault(int line, const std::string &field, std::string message)
{
    if (!isFaultLimitReached())
        faults_.push_back({file_, line, field, std::move(message)});
}

bool YamlReader::checkMapping(const Field &field,
                              std::initializer_list<std::string_view> allowedKeys)
{
    if (!field.node_.IsMap()) {
        addFault(field, "must be a mapping");
        return false;
    }
    std::set<std::string> seen;
    for (const auto &entry : field.node_) {
        if (isFaultLimitReached())
            return false;
        const auto line = lineOf(entry.first, field.line_);
        const auto key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
        const auto name = field.name_.empty() ? printable(key) : field.name_ + "." + printable(key);
        if (std::find(allowedKeys.begin(), allowedKeys.end(), key) == allowedKeys.end())
            addFault(line, name, "unknown key");
        else if (!seen.insert(key).second)
            addFault(line, name, "is given twice");
    }
    return true;
}

Field YamlReader::child(const Field &parent, const char *key)
{
    const auto name = parent.name_.empty() ? std::string(key) : parent.name_ + "." + key;
    const YAML::Node &constNode = parent.node_;
    const auto node = constNode.IsMap() ? constNode[key] : YAML::Node(YAML::NodeType::Undefined);
    const auto line = node.IsDefined() ? lineOf(node, parent.line_) : parent.line_;
    return {node, name, line};
}

void YamlReader::forEach(const Field &list, const std::function<void(const Field &)> &function)
{
    if (!list.isPresent())
        return;
    if (!list.node_.IsSequence()) {
        addFault(list, "must be a list");
        return;
    }
    std::size_t index = 0;
    for (const auto &node : list.node_) {
        if (isFaultLimitReached())
            return;
        const auto name = list.name_ + "[" + std::to_string(index++) + "]";
        function({node, name, lineOf(node, list.line_)});
    }
}

bool YamlReader::checkScalar(const Field &field, bool required, const char *expected)
{
    if (!field.isPresent()) {
        if (required)
            addFault(field, "is missing");
        return false;
    }
    if (!field.node_.IsScalar())
        addFault(field, std::string("must be ") + expected);
    return field.node_.IsScalar();
}

std::string YamlReader::text(const Field &field, bool required)
{
    return checkScalar(field, required, "text") ? field.node_.Scalar() : std::string();
}

std::uint64_t YamlReader::number(const Field &field, bool required, std::uint64_t fallback)
{
    std::uint64_t value = 0;
    if (!checkScalar(field, required, "a whole number"))
        return fallback;
    if (parseEntire(field.node_.Scalar(), value))
        return value;
    addFault(field, "must be a whole number from 0, without unit, but is \""
                            + printable(field.node_.Scalar()) + "\"");
    return fallback;
}

double YamlReader::real(const Field &field, double fallback)
{
    double value = 0;
    if (!checkScalar(field, false, "a number"))
        return fallback;
    if (parseEntire(field.node_.Scalar(), value) && std::isfinite(value))
        return value;
    addFault(field,
             "must be a number such as 0.1, but is \"" + printable(field.node_.Scalar()) + "\"");
    return fallback;
}

bool YamlReader::boolean(const Field &field, bool required)
{
    if (!checkScalar(field, required, "true or false"))
        return true;
    const auto &value = field.node_.Scalar();
    if (value != "true" && value != "false")
        addFault(field, "must be true or false, but is \"" + printable(value) + "\"");
    return value != "false";
}

} // namespace note::details
