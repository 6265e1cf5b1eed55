#include "controlserver.h"

#include <array>
#include <functional>
#include <map>

namespace Galenawell::StandIn {

namespace {

using Action = std::function<void(Replica &, const Json &)>;

std::chrono::milliseconds readMilliseconds(const Json &arguments, const char *key, int defaultValue)
{
    return std::chrono::milliseconds(arguments.value(key, defaultValue));
}

void crashOn(Replica &replica, const Json &arguments)
{
    replica.crashOn(arguments.at("text").get<std::string>(), readMilliseconds(arguments, "downMs", 2000));
}

void switchVersions(Replica &replica, const Json &arguments)
{
    using Versions = std::vector<std::uint64_t>;
    replica.switchVersions(arguments.value("add", Versions()), arguments.value("remove", Versions()));
}

const std::map<std::string, Action> &actions()
{
    static const std::map<std::string, Action> table{
        {"drain", [](Replica &replica, const Json &) { replica.drain(); }},
        {"undrain", [](Replica &replica, const Json &) { replica.undrain(); }},
        {"shed", [](Replica &replica, const Json &arguments) { replica.shedLoad(readMilliseconds(arguments, "durationMs", 1000)); }},
        {"freeze", [](Replica &replica, const Json &) { replica.setFrozen(true); }},
        {"thaw", [](Replica &replica, const Json &) { replica.setFrozen(false); }},
        {"silence", [](Replica &replica, const Json &) { replica.silenceConnections(); }},
        {"crash-on", crashOn},
        {"switch-version", switchVersions},
        {"repartition", [](Replica &replica, const Json &arguments) { replica.repartition(arguments.at("epoch").get<std::uint64_t>()); }},
        {"stop-announcing", [](Replica &replica, const Json &arguments) { replica.stopAnnouncing(arguments.value("stopped", true)); }},
        {"straggle", [](Replica &replica, const Json &arguments) { replica.setServiceTimeFactor(arguments.at("factor").get<double>()); }},
    };
    return table;
}

HttpResponse badRequest(const std::string &detail)
{
    return makeResponse(Http::status::bad_request, {{"error", detail}});
}

} // namespace

ControlServer::ControlServer(Asio::io_context &ioContext,
                             const Tcp::endpoint &listenAt,
                             std::vector<std::shared_ptr<Replica>> hosted,
                             const RunCounter &runCounter)
    : context(ioContext)
    , acceptor(ioContext, listenAt)
    , replicas(std::move(hosted))
    , runs(runCounter)
{
}

void ControlServer::start()
{
    Asio::co_spawn(this->context, this->acceptConnections(), Asio::detached);
}

Tcp::endpoint ControlServer::endpoint() const
{
    return this->acceptor.local_endpoint();
}

Asio::awaitable<void> ControlServer::acceptConnections()
{
    while (true) {
        auto [error, socket] = co_await this->acceptor.async_accept(useTuple);
        if (error) {
            co_await sleepFor(std::chrono::milliseconds(20));
            continue;
        }
        Asio::co_spawn(this->context, this->serveConnection(std::move(socket)), Asio::detached);
    }
}

Asio::awaitable<void> ControlServer::serveConnection(Tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        HttpRequestParser parser;
        limitParser(parser);
        const auto [readError, bytesRead] = co_await Http::async_read(socket, buffer, parser, useTuple);
        if (readError) {
            break;
        }
        HttpResponse response = this->answer(parser.get());
        open = parser.get().keep_alive();
        response.keep_alive(open);
        response.prepare_payload();
        const auto [writeError, bytesWritten] = co_await Http::async_write(socket, response, useTuple);
        open = open && !writeError;
    }
}

HttpResponse ControlServer::answer(const HttpRequest &request) const
{
    const std::string target(request.target());
    if (request.method() == Http::verb::get && target == "/control/runs") {
        return makeResponse(Http::status::ok, this->runs.describe());
    }
    if (request.method() == Http::verb::get && target == "/control/stats") {
        return makeResponse(Http::status::ok, this->describeReplicas());
    }
    const std::string prefix = "/control/";
    if (request.method() != Http::verb::post || !target.starts_with(prefix)) {
        return makeResponse(Http::status::not_found, {{"error", "unknown path " + target}});
    }
    const Json arguments = request.body().empty() ? Json::object() : Json::parse(request.body(), nullptr, false);
    if (!arguments.is_object()) {
        return badRequest("the body isn't a JSON object");
    }
    try {
        return this->applyAction(target.substr(prefix.size()), arguments);
    } catch (const Json::exception &exception) {
        return badRequest(exception.what());
    }
}

HttpResponse ControlServer::applyAction(const std::string &action, const Json &arguments) const
{
    const auto entry = actions().find(action);
    if (entry == actions().end()) {
        return makeResponse(Http::status::not_found, {{"error", "unknown action " + action}});
    }
    const auto selected = this->selectReplicas(arguments.value("filter", Json::object()));
    for (const std::shared_ptr<Replica> &replica : selected) {
        entry->second(*replica, arguments);
    }
    return makeResponse(Http::status::ok, {{"matched", selected.size()}});
}

std::vector<std::shared_ptr<Replica>> ControlServer::selectReplicas(const Json &filter) const
{
    std::vector<std::shared_ptr<Replica>> selected;
    for (const std::shared_ptr<Replica> &replica : this->replicas) {
        const bool service = filter.value("service", replica->serviceName()) == replica->serviceName();
        const bool group = filter.value("group", replica->identity().group) == replica->identity().group;
        const bool index = filter.value("index", replica->identity().index) == replica->identity().index;
        if (service && group && index) {
            selected.push_back(replica);
        }
    }
    return selected;
}

Json ControlServer::describeReplicas() const
{
    static constexpr std::array summedCounters{"subrequests",
                                               "replies",
                                               "cancellations",
                                               "deadlinesExceeded",
                                               "lateAfterDrain",
                                               "connections",
                                               "connectionsRefused",
                                               "crashes",
                                               "announcements",
                                               "announcementFailures"};
    Json totals = Json::object();
    std::map<std::string, std::uint64_t> refusals;
    Json list = Json::array();
    for (const std::shared_ptr<Replica> &replica : this->replicas) {
        Json description = replica->describe();
        for (const char *name : summedCounters) {
            totals[name] = totals.value(name, std::uint64_t{0}) + description[name].get<std::uint64_t>();
        }
        for (const auto &[refusal, count] : description["refusals"].items()) {
            refusals[refusal] += count.get<std::uint64_t>();
        }
        list.push_back(std::move(description));
    }
    totals["refusals"] = refusals;
    return {{"totals", std::move(totals)}, {"replicas", std::move(list)}};
}

} // namespace Galenawell::StandIn
