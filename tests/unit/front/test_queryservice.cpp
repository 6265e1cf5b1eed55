#include "galenawell/front/queryservice.h"

#include <criterion/criterion.h>

using namespace Galenawell;

// Guards against a query whose body is nested so deeply that writing it again, for its digest or for a server, takes the whole stack.
Test(queryservice, a_query_that_is_nested_too_deeply_is_refused)
{
    const auto query = [](std::size_t depth) {
        return R"({"id":"q1","service":"drafting-desk","body":{"a":)" + std::string(depth, '[') + std::string(depth, ']') + "}}";
    };
    cr_assert(parseQuery(query(10)).has_value(), "%s", parseQuery(query(10)).error().message().c_str());
    const Result<QueryRequest> refused = parseQuery(query(500'000));
    cr_assert(!refused && refused.error().kind == ErrorKind::MalformedJson);
}
