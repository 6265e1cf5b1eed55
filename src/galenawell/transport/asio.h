// Aliases of Asio and Beast, and helpers for awaitables.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace Galenawell {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;

using Tcp = boost::asio::ip::tcp;

// Completion token for awaitable operations that return their error code instead of throwing.
inline constexpr auto awaitResult = Asio::as_tuple(Asio::use_awaitable);

// Runs a function that returns an awaitable on another executor. Unlike co_spawn, the value need not be default constructible.
// Pass a named function object: g++ 12 destroys closure and aggregate temporaries in a co_await expression twice.
template<typename Function>
auto runOn(Asio::any_io_executor executor, Function function) -> decltype(function())
{
    using Value = typename decltype(function())::value_type;
    std::optional<Value> value = co_await Asio::co_spawn(
        executor,
        [&function]() -> Asio::awaitable<std::optional<Value>> { co_return std::optional<Value>(co_await function()); },
        Asio::use_awaitable);
    co_return std::move(*value);
}

} // namespace Galenawell
