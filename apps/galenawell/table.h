// Prints JSON replies as indented JSON or as text tables.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <span>
#include <string>
#include <string_view>

namespace Galenawell {

struct Column
{
    std::string_view header;
    // Member of each row's object.
    const char *key;
};

// Invalid UTF-8, for example in a file name, is replaced instead of throwing.
void printJson(std::ostream &out, const nlohmann::json &document);

// Lists are joined by commas, booleans are "yes" and "no", null is "-".
std::string cellText(const nlohmann::json &value);

// Cell text of an object's member; "-" if it is absent.
std::string memberText(const nlohmann::json &object, const char *key);

// Rows that aren't objects are skipped.
void printTable(std::ostream &out, std::span<const Column> columns, const nlohmann::json &rows);

} // namespace Galenawell
