// Aliases and helpers for the stand-in's HTTP messages.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

namespace Galenawell::StandIn {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

using Tcp = Asio::ip::tcp;
using Json = nlohmann::json;
using HttpRequest = Http::request<Http::string_body>;
using HttpResponse = Http::response<Http::string_body>;
using HttpRequestParser = Http::request_parser<Http::string_body>;

inline constexpr std::size_t maximumHeaderBytes = std::size_t{8} * 1024;
inline constexpr std::size_t maximumBodyBytes = std::size_t{1024} * 1024;

// Completes with a tuple that starts with the error code instead of throwing.
inline constexpr auto useTuple = Asio::as_tuple(Asio::use_awaitable);

inline HttpResponse makeResponse(Http::status status, const Json &body)
{
    HttpResponse response(status, 11);
    response.set(Http::field::content_type, "application/json");
    response.body() = body.dump();
    return response;
}

inline void limitParser(HttpRequestParser &parser)
{
    parser.header_limit(maximumHeaderBytes);
    parser.body_limit(maximumBodyBytes);
}

inline Asio::awaitable<void> sleepFor(std::chrono::steady_clock::duration duration)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor, duration);
    co_await timer.async_wait(useTuple);
}

} // namespace Galenawell::StandIn
