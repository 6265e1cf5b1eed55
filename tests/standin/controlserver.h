// HTTP server that injects faults into the replicas that a filter selects, and reports runs and statistics.
#pragma once

#include "http.h"
#include "replica.h"
#include "runcounter.h"

#include <memory>
#include <vector>

namespace Galenawell::StandIn {

class ControlServer
{
public:
    ControlServer(Asio::io_context &ioContext,
                  const Tcp::endpoint &listenAt,
                  std::vector<std::shared_ptr<Replica>> hosted,
                  const RunCounter &runCounter);

    void start();
    Tcp::endpoint endpoint() const;

private:
    Asio::awaitable<void> acceptConnections();
    Asio::awaitable<void> serveConnection(Tcp::socket socket);
    HttpResponse answer(const HttpRequest &request) const;
    HttpResponse applyAction(const std::string &action, const Json &arguments) const;
    std::vector<std::shared_ptr<Replica>> selectReplicas(const Json &filter) const;
    Json describeReplicas() const;

    Asio::io_context &context;
    Tcp::acceptor acceptor;
    std::vector<std::shared_ptr<Replica>> replicas;
    const RunCounter &runs;
};

} // namespace Galenawell::StandIn
