// A thread that runs an io_context, and blocking sockets on loopback for the other end of a connection.
#pragma once

#include "galenawell/transport/asio.h"

#include <future>
#include <string>
#include <thread>

namespace Galenawell::Testing {

class IoThread
{
public:
    IoThread()
        : thread([this] { this->context.run(); })
    {
    }

    ~IoThread()
    {
        this->stop();
    }

    // Afterwards objects that the handlers use may be destroyed.
    void stop()
    {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    template<typename Value>
    std::future<Value> start(Asio::awaitable<Value> task)
    {
        return Asio::co_spawn(this->context, std::move(task), Asio::use_future);
    }

    Asio::io_context context;

private:
    Asio::executor_work_guard<Asio::io_context::executor_type> work = Asio::make_work_guard(this->context);
    std::thread thread;
};

inline Tcp::endpoint anyPort()
{
    return {Asio::ip::address_v4::loopback(), 0};
}

// A blocking socket; reads end when the other side closes.
class PlainSocket
{
public:
    explicit PlainSocket(Tcp::socket connected)
        : socket(std::move(connected))
    {
    }

    void send(const std::string &text)
    {
        Beast::error_code ignored;
        Asio::write(this->socket, Asio::buffer(text), ignored);
    }

    std::string readUntil(const std::string &delimiter)
    {
        std::string text;
        Beast::error_code ignored;
        Asio::read_until(this->socket, Asio::dynamic_buffer(text), delimiter, ignored);
        return text;
    }

    std::string readAll()
    {
        std::string text;
        Beast::error_code ignored;
        Asio::read(this->socket, Asio::dynamic_buffer(text), ignored);
        return text;
    }

    Tcp::socket socket;
};

} // namespace Galenawell::Testing
