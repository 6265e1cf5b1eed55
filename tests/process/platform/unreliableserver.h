// A backend server whose replies arrive late, twice, in pieces, behind interim replies, cut off or not at all. It keeps count of what
// it has run and of the replies that it has sent whole.
#pragma once

#include "galenawell/core/randomsource.h"
#include "unit/transport/loopback.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Galenawell::Testing {

struct RunRecord
{
    unsigned runs = 0;
    // The reply to a run was sent whole.
    bool replied = false;
};

// What several servers have done with each request.
class RunBook
{
public:
    void addRun(const std::string &requestId);
    void addReply(const std::string &requestId);
    RunRecord find(const std::string &requestId) const;

private:
    mutable std::mutex mutex;
    std::map<std::string, RunRecord> records;
};

class UnreliableServer
{
public:
    UnreliableServer(std::string serverIdentity, RunBook &runBook);
    ~UnreliableServer();

    const std::string &identity() const;
    std::string heartbeat();
    // What goes wrong from now on depends on the seed and the order of the requests.
    void seed(std::uint64_t number);

private:
    struct Connection;

    Asio::awaitable<void> acceptLoop();
    Asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    // False if the connection ends without the whole reply.
    Asio::awaitable<bool> sendReply(std::shared_ptr<Connection> connection, std::string requestId);
    // Sends a copy of the reply before, if one is due; false after an error.
    Asio::awaitable<bool> sendCopy(std::shared_ptr<Connection> connection);
    Asio::awaitable<bool> send(std::shared_ptr<Connection> connection, std::string text);
    Asio::awaitable<void> wait(std::chrono::milliseconds time);
    bool happens(std::size_t percent);

    std::string name;
    RunBook &book;
    // Used on the thread below.
    RandomSource random{1};
    std::uint64_t sequence = 0;
    IoThread ioThread;
    Tcp::acceptor acceptor{this->ioThread.context, anyPort()};
};

} // namespace Galenawell::Testing
