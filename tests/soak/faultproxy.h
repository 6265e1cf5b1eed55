// A TCP proxy in front of one backend server that can delay or drop the data of its connections, or reset them.
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
    // Delays every chunk.
    Delay,
    // Drops replies and forwards requests.
    DropReplies,
    // Drops both and keeps the connections open; new connections work.
    DropAll,
};

class FaultProxy
{
public:
    explicit FaultProxy(Tcp::endpoint target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::string address() const;
    // Drops affect the open connections for as long as they last; Delay affects all until another fault is applied.
    void apply(ProxyFault fault);
    void resetConnections();

private:
    struct ConnectionPair;

    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> connect(std::shared_ptr<ConnectionPair> connections);
    Asio::awaitable<void> copy(std::shared_ptr<ConnectionPair> connections, bool replies);

    IoThread ioThread;
    Tcp::endpoint target;
    Tcp::acceptor acceptor;
    std::atomic<bool> delays{false};
    // Used only on the I/O thread.
    std::vector<std::weak_ptr<ConnectionPair>> connectionPairs;
};

} // namespace Galenawell::Testing
