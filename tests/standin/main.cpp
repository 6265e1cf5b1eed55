// Entry point of galenawell-standin: hosts the replicas that one JSON file describes, until SIGTERM or SIGINT.
#include "controlserver.h"
#include "replica.h"
#include "settings.h"

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

namespace {

using namespace Galenawell;
using namespace Galenawell::StandIn;

std::string groupName(const ServiceSettings &service, std::size_t group)
{
    if (service.kind == ServiceKind::Pool) {
        return {};
    }
    const std::string number = std::to_string(group);
    return "g" + std::string(number.size() < 2 ? 1 : 0, '0') + number;
}

// True for `stragglers` of the service's replicas, spread evenly.
bool isStraggler(const ServiceSettings &service, std::size_t number)
{
    const std::size_t total = service.groups * service.replicasPerGroup;
    return (number + 1) * service.stragglers / total != number * service.stragglers / total;
}

std::vector<std::shared_ptr<Replica>> createReplicas(Asio::io_context &context, const Settings &settings, RunCounter &runs)
{
    std::vector<std::shared_ptr<Replica>> replicas;
    for (const ServiceSettings &service : settings.services) {
        for (std::size_t number = 0; number < service.groups * service.replicasPerGroup; ++number) {
            ReplicaIdentity identity;
            identity.groupIndex = number / service.replicasPerGroup;
            identity.group = groupName(service, identity.groupIndex);
            identity.index = number % service.replicasPerGroup;
            identity.ordinal = replicas.size();
            identity.dataCentre = settings.dataCentres[identity.ordinal % settings.dataCentres.size()];
            identity.port = service.firstPort == 0 ? 0 : static_cast<std::uint16_t>(service.firstPort + number);
            identity.straggler = isStraggler(service, number);
            replicas.push_back(std::make_shared<Replica>(context, identity, service, settings, runs));
        }
    }
    return replicas;
}

void hostReplicas(const Settings &settings)
{
    RunCounter runs;
    Asio::io_context context(1);
    const auto replicas = createReplicas(context, settings, runs);
    for (const std::shared_ptr<Replica> &replica : replicas) {
        replica->start();
    }
    ControlServer control(context, Tcp::endpoint(Asio::ip::make_address(settings.ip), settings.controlPort), replicas, runs);
    control.start();
    Asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    // States the control port, which the system chooses if the file has 0.
    std::cout << "standin: " << replicas.size() << " replicas, control port " << control.endpoint().port() << std::endl;
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    namespace Options = boost::program_options;
    Options::options_description description("galenawell-standin hosts stand-in backend servers");
    std::string file;
    description.add_options()("help",
                              "print this text")("settings", Options::value(&file)->required(), "JSON file that describes the replicas");
    try {
        Options::variables_map values;
        Options::store(Options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        Options::notify(values);
        const Result<Settings> settings = readSettings(file);
        if (!settings) {
            std::cerr << "standin: " << settings.error().message() << '\n';
            return 2;
        }
        hostReplicas(settings.value());
    } catch (const std::exception &exception) {
        std::cerr << "standin: " << exception.what() << '\n';
        return 1;
    }
    return 0;
}
