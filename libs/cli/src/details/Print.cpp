#include "details/Print.h"

#include <algorithm>

namespace cli::details {

using nlohmann::json;

namespace {

constexpr int indentWidth = 2;

std::string scalarText(const json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

void printTree(std::ostream &out, const json &value, int indent)
{
    const std::string space(static_cast<std::size_t>(indent), ' ');
    const auto printEntry = [&](const std::string &name, const json &entry) {
        out << space << name;
        if (entry.is_structured() && !entry.empty()) {
            out << "\n";
            printTree(out, entry, indent + indentWidth);
        } else {
            out << " " << scalarText(entry) << "\n";
        }
    };
    if (value.is_object()) {
        for (const auto &[name, entry] : value.items())
            printEntry(name + ":", entry);
    } else if (value.is_array()) {
        for (const auto &entry : value)
            printEntry("-", entry);
    }
}

std::string fieldText(const json &value, const char *name)
{
    if (!value.is_object() || !value.contains(name))
        return "";
    return scalarText(value.at(name));
}

} // namespace cli::details
