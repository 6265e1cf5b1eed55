// Fake of a front's operator API: sends scripted replies and records the requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Galenawell {

struct ScriptedReply
{
    unsigned status = 200;
    std::string body;
    // Closes the connection instead of replying.
    bool closesConnection = false;
};

class FakeOperatorApi
{
public:
    // Keys are "METHOD target"; the last reply of a key is repeated.
    explicit FakeOperatorApi(std::map<std::string, std::deque<ScriptedReply>> scriptedReplies)
        : script(std::move(scriptedReplies))
        , acceptor(this->context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        this->accept();
        this->runner = std::thread([this] { this->context.run(); });
    }

    ~FakeOperatorApi()
    {
        this->stop();
    }

    // Requests may be read after this.
    void stop()
    {
        this->context.stop();
        if (this->runner.joinable()) {
            this->runner.join();
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    // "METHOD target body" of each request, and the last Authorization header.
    std::vector<std::string> requests;
    std::string authorization;

private:
    void accept()
    {
        this->acceptor.async_accept([this](boost::system::error_code failure, boost::asio::ip::tcp::socket socket) {
            if (!failure) {
                this->serve(std::move(socket));
                this->accept();
            }
        });
    }

    void serve(boost::asio::ip::tcp::socket socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        boost::system::error_code failure;
        http::read(socket, buffer, request, failure);
        if (failure) {
            return;
        }
        const std::string key = std::string(request.method_string()) + " " + std::string(request.target());
        this->requests.push_back(key + " " + request.body());
        this->authorization = std::string(request[http::field::authorization]);
        const ScriptedReply scripted = this->next(key);
        if (scripted.closesConnection) {
            return;
        }
        http::response<http::string_body> response(static_cast<http::status>(scripted.status), 11, scripted.body);
        response.prepare_payload();
        http::write(socket, response, failure);
    }

    ScriptedReply next(const std::string &key)
    {
        std::deque<ScriptedReply> &replies = this->script[key];
        if (replies.empty()) {
            return {.status = 404, .body = R"({"error": "unknown path", "remedy": "use a path of the API pages"})"};
        }
        ScriptedReply reply = replies.front();
        if (replies.size() > 1) {
            replies.pop_front();
        }
        return reply;
    }

    std::map<std::string, std::deque<ScriptedReply>> script;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread runner;
};

} // namespace Galenawell
