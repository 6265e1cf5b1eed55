#include "galenawell/core/boundedjson.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t index = 0; index < count; ++index) {
        result += text;
    }
    return result;
}

} // namespace

// Guards against documents of a few megabytes that take hundreds once they are parsed.
Test(boundedjson, documents_that_cost_many_times_their_size_are_refused)
{
    constexpr std::size_t count = 1'000'000;
    cr_assert(!parseBoundedJson(std::string(count, '[')));
    cr_assert(!parseBoundedJson("[" + repeated("[],", count) + "1]"));
    cr_assert(!parseBoundedJson("[" + repeated("{},", count) + "1]"));
    cr_assert(!parseBoundedJson("[" + repeated("1,", count) + "1]"));
    cr_assert(!parseBoundedJson(repeated("{\"a\":", count)));
}

// Guards against recursion over a document that has no end.
Test(boundedjson, the_depth_is_bounded)
{
    cr_assert(parseBoundedJson(std::string(32, '[') + std::string(32, ']')).has_value());
    cr_assert(!parseBoundedJson(std::string(33, '[') + std::string(33, ']')));
}

// Guards against bounds that change what an ordinary document means or how an unreadable one is explained.
Test(boundedjson, other_documents_are_read_as_before)
{
    const std::string text = R"({"a":[1,-2,3.5,null,true,"x"],"b":{"c":"d"}})";
    cr_assert(parseBoundedJson(text).value() == nlohmann::json::parse(text));
    const Result<nlohmann::json> broken = parseBoundedJson("{\"a\":");
    cr_assert(!broken && broken.error().detail.find("parse error") != std::string::npos);
    cr_assert(parseBoundedJsonOrDiscard("{\"a\":").is_discarded());
}
