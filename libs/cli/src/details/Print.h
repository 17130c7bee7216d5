#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cli::details {

/** Prints rows with aligned columns; the first row is the heading. */
void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

/** Prints a JSON value as indented lines of "name: value". */
void printTree(std::ostream &out, const nlohmann::json &value, int indent);

/** Value of a field as text; empty when the field is missing. */
std::string fieldText(const nlohmann::json &value, const char *name);

} // namespace cli::details
