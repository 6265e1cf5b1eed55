#include "galenawell/settings/objectreader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace Galenawell {

namespace Detail {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maximumNameLength = 64;
// Longer values are truncated in messages.
constexpr std::size_t maximumValueLength = 60;
constexpr std::string_view endpointAllowed
    = "a numeric IP address with a port from 1 to 65535, such as \"192.0.2.1:8080\" or \"[2001:db8::1]:8080\"";

const Json &emptyObject()
{
    static const Json empty = Json::object();
    return empty;
}

// Only names the type of arrays and objects: dump() recurses, and a document from the network may be nested deeply.
std::string formatValue(const Json &value)
{
    if (value.is_structured()) {
        return value.is_array() ? "an array" : "an object";
    }
    std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (text.size() > maximumValueLength) {
        text.resize(maximumValueLength);
        text += "...";
    }
    return text;
}

bool isNameCharacter(char character)
{
    const bool letter = character >= 'a' && character <= 'z';
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '.';
}

bool isName(const std::string &text)
{
    if (text.empty() || text.size() > maximumNameLength || text.front() == '-' || text.front() == '.') {
        return false;
    }
    return std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string formatNumber(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

} // namespace

} // namespace Detail

const TextRule nameRule{.accepts = Detail::isName,
                        .allowed = "a name of 1 to 64 characters a-z, 0-9, '-' and '.', starting with a letter or digit"};

FirstError::FirstError(ErrorKind errorKind, const MergedFolder *originFolder)
    : kind(errorKind)
    , folder(originFolder)
{
}

void FirstError::add(const std::string &pointer, const std::string &message)
{
    if (this->first) {
        return;
    }
    std::string detail;
    if (this->folder != nullptr) {
        detail = this->folder->originOf(pointer) + ": ";
    }
    detail += pointer.empty() ? "(top level)" : pointer;
    detail += ": " + message;
    this->first = makeError(this->kind, detail);
}

bool FirstError::failed() const
{
    return this->first.has_value();
}

const Error &FirstError::error() const
{
    return this->first.value();
}

ObjectReader::ObjectReader(const nlohmann::json &value, std::string pointer, FirstError &errors)
    : source(&value)
    , basePointer(std::move(pointer))
    , firstError(&errors)
{
    if (!value.is_object()) {
        this->firstError->add(this->basePointer, "must be an object, is " + Detail::formatValue(value));
        this->source = &Detail::emptyObject();
    }
}

bool ObjectReader::has(const std::string &key) const
{
    return this->source->contains(key);
}

void ObjectReader::require(const std::string &key, std::string_view allowed)
{
    if (!this->has(key)) {
        this->fail(key, "is required and must be " + std::string(allowed));
    }
}

void ObjectReader::forbid(const std::string &key, std::string_view reason)
{
    if (this->has(key)) {
        this->fail(key, "is not allowed here; " + std::string(reason));
    }
}

void ObjectReader::number(const std::string &key, double &target, NumberRange range)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return;
    }
    const bool valid = value->is_number() && value->get<double>() >= range.minimum && value->get<double>() <= range.maximum;
    if (!valid) {
        const std::string allowed = "a number from " + Detail::formatNumber(range.minimum) + " to " + Detail::formatNumber(range.maximum);
        this->failValue(key, allowed, *value);
        return;
    }
    target = value->get<double>();
}

void ObjectReader::duration(const std::string &key, std::chrono::milliseconds &target, DurationRange range)
{
    const IntegerRange integers{.minimum = static_cast<std::uint64_t>(range.minimum.count()),
                                .maximum = static_cast<std::uint64_t>(range.maximum.count())};
    const std::optional<std::uint64_t> value = this->readInteger(key, integers, " milliseconds");
    if (value) {
        target = std::chrono::milliseconds(*value);
    }
}

void ObjectReader::boolean(const std::string &key, bool &target)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        this->failValue(key, "true or false", *value);
        return;
    }
    target = value->get<bool>();
}

void ObjectReader::text(const std::string &key, std::string &target, const TextRule &rule)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return;
    }
    const bool valid = value->is_string() && rule.accepts(value->get_ref<const std::string &>());
    if (valid) {
        target = value->get<std::string>();
    } else if (rule.secret) {
        this->fail(key, "must be " + std::string(rule.allowed));
    } else {
        this->failValue(key, rule.allowed, *value);
    }
}

void ObjectReader::endpoint(const std::string &key, boost::asio::ip::tcp::endpoint &target)
{
    const std::optional<std::string> value = this->readText(key, Detail::endpointAllowed);
    if (!value) {
        return;
    }
    const std::optional<boost::asio::ip::tcp::endpoint> parsed = parseEndpoint(*value);
    if (!parsed) {
        this->failValue(key, Detail::endpointAllowed, *value);
        return;
    }
    target = *parsed;
}

void ObjectReader::endpoint(const std::string &key, std::optional<boost::asio::ip::tcp::endpoint> &target)
{
    if (!this->has(key)) {
        this->knownKeys.insert(key);
        return;
    }
    boost::asio::ip::tcp::endpoint value;
    this->endpoint(key, value);
    target = value;
}

void ObjectReader::texts(const std::string &key, std::vector<std::string> &target, const TextRule &rule, IntegerRange lengths)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array() || value->size() < lengths.minimum || value->size() > lengths.maximum) {
        const std::string allowed = "an array of " + std::to_string(lengths.minimum) + " to " + std::to_string(lengths.maximum) + " texts";
        this->failValue(key, allowed, *value);
        return;
    }
    std::vector<std::string> texts;
    for (std::size_t index = 0; index < value->size(); ++index) {
        const nlohmann::json &entry = value->at(index);
        if (!entry.is_string() || !rule.accepts(entry.get_ref<const std::string &>())) {
            const std::string pointer = childPointer(childPointer(this->basePointer, key), std::to_string(index));
            this->firstError->add(pointer, "must be " + std::string(rule.allowed) + ", is " + Detail::formatValue(entry));
            return;
        }
        texts.push_back(entry.get<std::string>());
    }
    target = std::move(texts);
}

ObjectReader ObjectReader::object(const std::string &key)
{
    const nlohmann::json *value = this->find(key);
    return ObjectReader(value == nullptr ? Detail::emptyObject() : *value, childPointer(this->basePointer, key), *this->firstError);
}

std::vector<ObjectReader> ObjectReader::objects(const std::string &key, IntegerRange lengths)
{
    std::vector<ObjectReader> readers;
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return readers;
    }
    if (!value->is_array() || value->size() < lengths.minimum || value->size() > lengths.maximum) {
        const std::string allowed
            = "an array of " + std::to_string(lengths.minimum) + " to " + std::to_string(lengths.maximum) + " objects";
        this->failValue(key, allowed, *value);
        return readers;
    }
    const std::string pointer = childPointer(this->basePointer, key);
    for (std::size_t index = 0; index < value->size(); ++index) {
        readers.emplace_back(value->at(index), childPointer(pointer, std::to_string(index)), *this->firstError);
    }
    return readers;
}

std::vector<std::pair<std::string, ObjectReader>> ObjectReader::members()
{
    std::vector<std::pair<std::string, ObjectReader>> readers;
    for (const auto &[key, value] : this->source->items()) {
        this->knownKeys.insert(key);
        readers.emplace_back(key, ObjectReader(value, childPointer(this->basePointer, key), *this->firstError));
    }
    return readers;
}

void ObjectReader::finish()
{
    for (const auto &[key, value] : this->source->items()) {
        if (this->knownKeys.contains(key)) {
            continue;
        }
        std::string message = "unknown key; allowed here are";
        for (const std::string &name : this->knownKeys) {
            message += message.ends_with("are") ? " " : ", ";
            message += name;
        }
        this->fail(key, message);
        return;
    }
}

void ObjectReader::fail(const std::string &key, const std::string &message)
{
    this->firstError->add(childPointer(this->basePointer, key), message);
}

const nlohmann::json *ObjectReader::find(const std::string &key)
{
    this->knownKeys.insert(key);
    const auto found = this->source->find(key);
    return found == this->source->end() ? nullptr : &*found;
}

std::optional<std::uint64_t> ObjectReader::readInteger(const std::string &key, IntegerRange range, std::string_view unit)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    const bool valid
        = value->is_number_unsigned() && value->get<std::uint64_t>() >= range.minimum && value->get<std::uint64_t>() <= range.maximum;
    if (!valid) {
        const std::string allowed
            = "an integer from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum) + std::string(unit);
        this->failValue(key, allowed, *value);
        return std::nullopt;
    }
    return value->get<std::uint64_t>();
}

std::optional<std::string> ObjectReader::readText(const std::string &key, std::string_view allowed)
{
    const nlohmann::json *value = this->find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        this->failValue(key, allowed, *value);
        return std::nullopt;
    }
    return value->get<std::string>();
}

void ObjectReader::failValue(const std::string &key, std::string_view allowed, const nlohmann::json &value)
{
    this->fail(key, "must be " + std::string(allowed) + ", is " + Detail::formatValue(value));
}

} // namespace Galenawell
