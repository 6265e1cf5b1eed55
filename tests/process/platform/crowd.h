// A crowd of clients that misuse a listener of one process, and a watch over what the process holds meanwhile.
#pragma once

#include "unit/transport/loopback.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Galenawell::Testing {

struct CrowdOptions
{
    // "IP:port" of the listener.
    std::string address;
    std::size_t clients = 100;
    // Sent by each client on its own connection.
    std::string bytes{};
    // Whether clients read what the process answers. One that doesn't has a small receive buffer.
    bool reads = true;
};

// Opens all connections at once and sends on each. The connections stay open until the process or leave() closes them.
class Crowd
{
public:
    explicit Crowd(CrowdOptions options);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    // Waits until nothing moves between the clients and the process any more, or until a long timeout has passed.
    void waitUntilSettled() const;
    // Closes all connections.
    void leave();

private:
    struct Client;

    // Bytes that the clients have handed over, that wait to be sent, and that wait on either side to be read.
    using Progress = std::array<std::size_t, 4>;

    Progress progress() const;
    Asio::awaitable<void> run(std::shared_ptr<Client> client);
    static Asio::awaitable<void> readAnswers(std::shared_ptr<Client> client);

    CrowdOptions options;
    std::vector<std::shared_ptr<Client>> clients;
    // Clients that have sent everything or were cut off.
    std::atomic<std::size_t> finished{0};
    std::atomic<std::size_t> bytesSent{0};
    IoThread ioThread;
};

// The most that a process has held.
struct ProcessPeaks
{
    // Resident memory and, at the same moment, bytes that have arrived on its sockets and aren't read.
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

// Samples a process whose sockets are bound to an IP number of its own.
class ProcessWatch
{
public:
    ProcessWatch(pid_t process, std::string ip);

    ProcessPeaks peaks() const;
    std::size_t descriptors() const;

private:
    void run(const std::stop_token &stop);

    const pid_t process;
    const std::string ip;
    std::atomic<std::size_t> memoryPeak{0};
    std::atomic<std::size_t> descriptorPeak{0};
    std::jthread sampler;
};

// A request with a chunked body, for a listener that may not know the path.
std::string chunkedHead(const std::string &method, const std::string &target, const std::string &headers = {});
// A body of `size` bytes in chunks; the last chunk that ends the body is missing.
std::string unendedChunks(std::size_t size, std::size_t chunkBytes);

} // namespace Galenawell::Testing
