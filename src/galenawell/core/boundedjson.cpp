#include "galenawell/core/boundedjson.h"

namespace Galenawell {

namespace {

using Json = nlohmann::json;

// An element of an array that grows by doubling, and a member of an object with its node and key.
constexpr std::size_t elementBytes = 3 * sizeof(Json);
constexpr std::size_t memberBytes = 160;
constexpr std::size_t containerBytes = 64;
// Of a text, besides its characters.
constexpr std::size_t textBytes = 48;

// Adds up what a document would take, and stops at the first limit.
class CostEstimate : public nlohmann::json_sax<Json>
{
public:
    explicit CostEstimate(const JsonLimits &jsonLimits)
        : limits(jsonLimits)
    {
    }

    bool withinLimits() const
    {
        return this->depth <= this->limits.maximumDepth && this->bytes <= this->limits.maximumBytes;
    }

    bool null() override
    {
        return this->add(elementBytes);
    }

    bool boolean(bool) override
    {
        return this->add(elementBytes);
    }

    bool number_integer(number_integer_t) override
    {
        return this->add(elementBytes);
    }

    bool number_unsigned(number_unsigned_t) override
    {
        return this->add(elementBytes);
    }

    bool number_float(number_float_t, const string_t &) override
    {
        return this->add(elementBytes);
    }

    bool string(string_t &text) override
    {
        return this->add(elementBytes + textBytes + text.size());
    }

    bool binary(binary_t &value) override
    {
        return this->add(elementBytes + value.size());
    }

    bool start_object(std::size_t) override
    {
        ++this->depth;
        return this->add(elementBytes + containerBytes);
    }

    bool key(string_t &name) override
    {
        return this->add(memberBytes + name.size());
    }

    bool end_object() override
    {
        --this->depth;
        return true;
    }

    bool start_array(std::size_t) override
    {
        ++this->depth;
        return this->add(elementBytes + containerBytes);
    }

    bool end_array() override
    {
        --this->depth;
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        // The parser says it better.
        return false;
    }

private:
    bool add(std::size_t count)
    {
        this->bytes += count;
        return this->withinLimits();
    }

    JsonLimits limits;
    std::size_t depth = 0;
    std::size_t bytes = 0;
};

} // namespace

Result<nlohmann::json> parseBoundedJson(const std::string &text, const JsonLimits &limits)
{
    CostEstimate estimate(limits);
    Json::sax_parse(text, &estimate);
    if (!estimate.withinLimits()) {
        return makeError(ErrorKind::MalformedJson, "the document is too deeply nested or has too many values");
    }
    try {
        return Json::parse(text);
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::MalformedJson, exception.what());
    }
}

nlohmann::json parseBoundedJsonOrDiscard(const std::string &text)
{
    Result<nlohmann::json> document = parseBoundedJson(text);
    return document ? std::move(document.value()) : Json(Json::value_t::discarded);
}

} // namespace Galenawell
