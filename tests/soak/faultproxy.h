// A loopback proxy between fronts and one backend server, whose connections can be delayed, cut one way, silenced or reset.
#pragma once

#include "unit/transport/loopback.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Galenawell::Testing {

enum class ProxyFault : std::uint8_t {
    None,
    // Every chunk waits.
    Delay,
    // Requests arrive, replies don't.
    CutReplies,
    // Nothing arrives either way; connections stay open. New ones work.
    Silence,
};

class FaultProxy
{
public:
    explicit FaultProxy(Tcp::endpoint target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::string address() const;
    // Affects the connections that are open now; those that are made later only by Delay.
    void apply(ProxyFault fault);
    void resetConnections();

private:
    struct Pair;

    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> connect(std::shared_ptr<Pair> pair);
    Asio::awaitable<void> copy(std::shared_ptr<Pair> pair, bool replies);

    IoThread loop;
    Tcp::endpoint target;
    Tcp::acceptor acceptor;
    std::atomic<bool> delays{false};
    // Used on the loop's thread only.
    std::vector<std::weak_ptr<Pair>> pairs;
};

} // namespace Galenawell::Testing
