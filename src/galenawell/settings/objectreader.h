// Strict validation of JSON objects. The first error is kept, with its file, JSON pointer and the allowed values.
#pragma once

#include "galenawell/core/endpoint.h"
#include "galenawell/core/error.h"
#include "galenawell/settings/settingsfolder.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Galenawell {

// Both ends are allowed.
struct IntegerRange
{
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
};

// Both ends are allowed.
struct NumberRange
{
    double minimum = 0.0;
    double maximum = 0.0;
};

// Both ends are allowed.
struct DurationRange
{
    std::chrono::milliseconds minimum{0};
    std::chrono::milliseconds maximum{0};
};

struct TextRule
{
    bool (*accepts)(const std::string &text) = nullptr;
    std::string_view allowed;
    // Error messages omit the value.
    bool secret = false;
};

template<typename T>
struct Choice
{
    std::string_view name;
    T value;
};

// Names of instances, data centres, installations and services.
extern const TextRule nameRule;

// Keeps the first validation error of one document.
class FirstError
{
public:
    // Without a folder, messages name no file.
    FirstError(ErrorKind errorKind, const MergedFolder *originFolder);

    void add(const std::string &pointer, const std::string &message);
    bool failed() const;
    // Only after failed().
    const Error &error() const;

private:
    ErrorKind kind;
    const MergedFolder *folder;
    std::optional<Error> first;
};

// Reads one object. An absent key leaves the target unchanged; finish() reports a key that no call has read.
class ObjectReader
{
public:
    // A value other than an object is an error and is read as an empty object.
    ObjectReader(const nlohmann::json &value, std::string pointer, FirstError &errors);

    bool has(const std::string &key) const;
    void require(const std::string &key, std::string_view allowed);
    void forbid(const std::string &key, std::string_view reason);

    template<std::unsigned_integral T>
    void integer(const std::string &key, T &target, IntegerRange range);
    void number(const std::string &key, double &target, NumberRange range);
    void duration(const std::string &key, std::chrono::milliseconds &target, DurationRange range);
    void boolean(const std::string &key, bool &target);
    void text(const std::string &key, std::string &target, const TextRule &rule);
    void endpoint(const std::string &key, boost::asio::ip::tcp::endpoint &target);
    void endpoint(const std::string &key, std::optional<boost::asio::ip::tcp::endpoint> &target);
    template<typename T>
    void choice(const std::string &key, T &target, std::span<const Choice<T>> choices);

    // An array of texts that all follow the rule.
    void texts(const std::string &key, std::vector<std::string> &target, const TextRule &rule, IntegerRange lengths);

    ObjectReader object(const std::string &key);
    std::vector<ObjectReader> objects(const std::string &key, IntegerRange lengths);
    // Every member as an object, by key.
    std::vector<std::pair<std::string, ObjectReader>> members();

    void finish();
    void fail(const std::string &key, const std::string &message);

private:
    const nlohmann::json *find(const std::string &key);
    std::optional<std::uint64_t> readInteger(const std::string &key, IntegerRange range, std::string_view unit);
    std::optional<std::string> readText(const std::string &key, std::string_view allowed);
    void failValue(const std::string &key, std::string_view allowed, const nlohmann::json &value);

    const nlohmann::json *source;
    std::string basePointer;
    FirstError *firstError;
    // Keys of the schema, listed in the error about an unknown one.
    std::set<std::string> knownKeys;
};

template<std::unsigned_integral T>
void ObjectReader::integer(const std::string &key, T &target, IntegerRange range)
{
    const std::optional<std::uint64_t> value = this->readInteger(key, range, "");
    if (value) {
        target = static_cast<T>(*value);
    }
}

template<typename T>
void ObjectReader::choice(const std::string &key, T &target, std::span<const Choice<T>> choices)
{
    std::string allowed = "one of";
    for (const Choice<T> &candidate : choices) {
        allowed += allowed == "one of" ? " " : ", ";
        allowed += '"' + std::string(candidate.name) + '"';
    }
    const std::optional<std::string> name = this->readText(key, allowed);
    if (!name) {
        return;
    }
    for (const Choice<T> &candidate : choices) {
        if (candidate.name == *name) {
            target = candidate.value;
            return;
        }
    }
    this->failValue(key, allowed, *name);
}

} // namespace Galenawell
