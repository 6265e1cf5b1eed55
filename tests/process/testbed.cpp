// Runs an installation on loopback until SIGTERM or SIGINT, for the demonstration and measurements.
#include "process/installation.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

namespace {

namespace Options = boost::program_options;
using namespace Galenawell::Testing;

nlohmann::json readJson(const std::string &path)
{
    std::ifstream file(path);
    return nlohmann::json::parse(file, nullptr, false, true);
}

void printAddresses(const Installation &installation, std::size_t fronts, std::size_t controls)
{
    for (std::size_t index = 0; index < fronts; ++index) {
        const std::string name = Installation::frontName(index);
        std::cout << name << " caller " << installation.callerAddress(name) << " operator " << installation.operatorAddress(name) << '\n';
    }
    for (std::size_t index = 0; index < controls; ++index) {
        const std::string name = Installation::controlName(index);
        std::cout << name << " operator " << installation.operatorAddress(name) << '\n';
    }
    std::cout << "standin control " << installation.standinControlAddress() << '\n';
    std::cout << "token " << installation.tokenFile() << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    InstallationOptions options{.fronts = 7, .controls = 3};
    std::string folder;
    std::string services;
    Options::options_description description(
        "Usage: galenawell-testbed --folder DIR [options]\n\nRuns an installation on loopback. Options");
    description.add_options()("help", "print this text")("folder", Options::value(&folder), "folder for settings, data and logs")(
        "fronts", Options::value(&options.fronts), "number of fronts")(
        "controls", Options::value(&options.controls), "number of control processes")(
        "services", Options::value(&services), "JSON file with the stand-in's services")(
        "log-level", Options::value(&options.logLevel), "log level");
    Options::variables_map values;
    Options::store(Options::parse_command_line(argc, argv, description), values);
    Options::notify(values);
    if (values.contains("help") || folder.empty()) {
        std::cout << description << '\n';
        return folder.empty() ? 2 : 0;
    }
    options.folder = folder;
    options.programFolder = std::filesystem::path(argv[0]).parent_path();
    options.services = services.empty() ? smallServices() : readJson(services);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);

    Installation installation(std::move(options));
    installation.startAll();
    printAddresses(installation,
                   values["fronts"].empty() ? 7 : values["fronts"].as<std::size_t>(),
                   values["controls"].empty() ? 3 : values["controls"].as<std::size_t>());
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
