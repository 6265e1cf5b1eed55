#include "galenawell/core/endpoint.h"
#include "galenawell/front/scatterrun.h"
#include "unit/transport/loopback.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

// Queries to a pool service with one server, whose replies are written by the test.
struct QueriedPool
{
    QueriedPool()
    {
        ServiceTable service;
        service.options.name = "pool";
        service.options.kind = ServiceKind::Pool;
        service.options.subrequestTimeout = 5s;
        BackendRecord record;
        record.key = {.service = "pool", .group = "", .address = toString(this->acceptor.local_endpoint())};
        record.state = BackendState::Ready;
        const TimePoint longAgo = MonotonicClock::now() - 1h;
        service.groups[""].push_back(
            {.record = record, .health = std::make_shared<ReplicaHealth>(EjectionOptions{}, longAgo), .inFlightLimit = 5});
        RoutingTable tables;
        tables.services.emplace("pool", std::move(service));
        this->table = std::make_shared<const RoutingTable>(std::move(tables));
    }

    ~QueriedPool()
    {
        this->ioThread.stop();
    }

    std::future<ScatterOutcome> query(const std::string &id)
    {
        ScatterRunOptions options{.scatter = {.requestId = id, .deadline = MonotonicClock::now() + 5s}, .service = "pool", .body = id};
        auto run = std::make_shared<ScatterRun>(std::move(options),
                                                this->table,
                                                *this->table->findService("pool"),
                                                this->state,
                                                this->client,
                                                *this->metrics,
                                                []() -> Asio::awaitable<void> { co_return; });
        this->runs.push_back(run);
        return this->ioThread.start(run->run());
    }

    // Reads one subrequest and returns the reply to it, with the id of the query as its only row.
    static std::string replyToNext(PlainSocket &server)
    {
        const std::string text = server.readUntil("}");
        const nlohmann::json subrequest = nlohmann::json::parse(text.substr(text.find("\r\n\r\n")));
        const nlohmann::json reply{{"subrequestId", subrequest.at("subrequestId")},
                                   {"epoch", 0},
                                   {"version", 0},
                                   {"group", ""},
                                   {"rangeBegin", ""},
                                   {"rangeEnd", ""},
                                   {"rows", {{{"key", subrequest.at("requestId")}, {"value", 1}}}}};
        const std::string body = reply.dump();
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Returns the server's end of the connection, which is idle now, and the reply.
    std::pair<PlainSocket, std::string> answerFirstQuery()
    {
        std::future<ScatterOutcome> outcome = this->query("q1");
        PlainSocket server(this->acceptor.accept());
        std::string reply = replyToNext(server);
        server.send(reply);
        cr_assert_eq(rowOf(outcome.get()), "q1");
        return {std::move(server), std::move(reply)};
    }

    static std::string rowOf(const ScatterOutcome &outcome)
    {
        return outcome.answer && outcome.answer->rows.size() == 1 ? outcome.answer->rows.front().key : std::string();
    }

    Asio::io_context context;
    Tcp::acceptor acceptor{this->context, anyPort()};
    std::shared_ptr<Metrics> metrics = std::make_shared<Metrics>("front-1");
    FrontState state{ProcessSettings{}, 1, this->metrics};
    std::shared_ptr<const RoutingTable> table;
    IoThread ioThread;
    BackendClient client{this->ioThread.context.get_executor()};
    // Their timers belong to the context of the thread.
    std::vector<std::shared_ptr<ScatterRun>> runs;
};

} // namespace

// Guards against merging the rows of another query: its reply came a second time, on the connection that the next query uses.
Test(scatterrun, a_late_reply_to_another_query_is_not_merged)
{
    QueriedPool pool;
    auto [server, reply] = pool.answerFirstQuery();
    std::future<ScatterOutcome> second = pool.query("q2");
    QueriedPool::replyToNext(server);
    server.send(reply);
    server.socket.close();
    cr_assert_eq(QueriedPool::rowOf(second.get()), "");
}

// Guards against a connection that stays one reply behind after a reply that came twice: each query that follows would fail.
Test(scatterrun, the_reply_behind_a_late_one_is_merged)
{
    QueriedPool pool;
    auto [server, reply] = pool.answerFirstQuery();
    std::future<ScatterOutcome> second = pool.query("q2");
    const std::string own = QueriedPool::replyToNext(server);
    server.send(reply + own);
    cr_assert_eq(QueriedPool::rowOf(second.get()), "q2");
    cr_assert_eq(pool.client.idleConnections(), 1);
}

// Guards against using a connection again after a reply that can't be read: the reply to the query may still be due on it.
Test(scatterrun, a_connection_with_an_unreadable_reply_is_not_used_again)
{
    QueriedPool pool;
    std::future<ScatterOutcome> first = pool.query("q1");
    PlainSocket server(pool.acceptor.accept());
    QueriedPool::replyToNext(server);
    pool.acceptor.close();
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    cr_assert_eq(QueriedPool::rowOf(first.get()), "");
    cr_assert_eq(pool.client.idleConnections(), 0);
    cr_assert(server.readAll().empty());
}
