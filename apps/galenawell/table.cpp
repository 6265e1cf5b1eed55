#include "galenawell/table.h"

#include <algorithm>
#include <vector>

namespace Galenawell {

namespace Detail {

namespace {

using TextRow = std::vector<std::string>;

constexpr std::size_t columnGap = 2;

std::string joined(const nlohmann::json &values)
{
    std::string text;
    for (const nlohmann::json &value : values) {
        text += text.empty() ? "" : ",";
        text += cellText(value);
    }
    return text.empty() ? "-" : text;
}

// Replaces control characters, which a reply may contain and the terminal would interpret.
std::string replaceControlCharacters(std::string text)
{
    const auto isControl = [](char character) { return static_cast<unsigned char>(character) < ' ' || character == '\x7f'; };
    std::replace_if(text.begin(), text.end(), isControl, '?');
    return text;
}

void printRow(std::ostream &out, const TextRow &row, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t index = 0; index < row.size(); ++index) {
        line += row[index];
        line.append(widths[index] + columnGap - row[index].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
}

} // namespace

} // namespace Detail

void printJson(std::ostream &out, const nlohmann::json &document)
{
    constexpr int indent = 2;
    out << document.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

std::string cellText(const nlohmann::json &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_array()) {
        return Detail::joined(value);
    }
    if (value.is_string()) {
        return Detail::replaceControlCharacters(value.get<std::string>());
    }
    return value.dump();
}

std::string memberText(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found == object.end() ? "-" : cellText(*found);
}

void printTable(std::ostream &out, std::span<const Column> columns, const nlohmann::json &rows)
{
    std::vector<Detail::TextRow> lines(1);
    std::vector<std::size_t> widths;
    for (const Column &column : columns) {
        lines.front().emplace_back(column.header);
        widths.push_back(column.header.size());
    }
    for (const nlohmann::json &row : rows) {
        if (!row.is_object()) {
            continue;
        }
        Detail::TextRow line;
        for (std::size_t index = 0; index < columns.size(); ++index) {
            line.push_back(memberText(row, columns[index].key));
            widths[index] = std::max(widths[index], line.back().size());
        }
        lines.push_back(std::move(line));
    }
    for (const Detail::TextRow &line : lines) {
        Detail::printRow(out, line, widths);
    }
}

} // namespace Galenawell
