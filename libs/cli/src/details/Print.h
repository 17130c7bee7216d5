#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cli::details {

/** Rows as columns of equal width; the first row is the heading. */
void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

/** A JSON value as indented lines of "name: value". */
void printTree(std::ostream &out, const nlohmann::json &value, int indent);

/** Text of a field, or of its number; empty when there is none. */
std::string fieldText(const nlohmann::json &value, const char *name);

} // namespace cli::details
