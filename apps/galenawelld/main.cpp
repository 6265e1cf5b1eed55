// Entry point of the daemon: reads the settings folder and runs a front or control process until SIGTERM or SIGINT.
#include "galenawell/control/controlprocess.h"
#include "galenawell/front/frontprocess.h"
#include "galenawell/settings/processsettings.h"
#include "galenawell/telemetry/log.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <thread>
#include <vector>

namespace {

namespace Options = boost::program_options;

// Exit codes, as documented in docs/operators.md.
constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;

constexpr std::chrono::milliseconds failurePollInterval{200};

// Stored state is read again only at process start, so a process that can't read it ends, and is started again.
boost::asio::awaitable<void> stopOnFailure(std::shared_ptr<Galenawell::ControlProcess> process, boost::asio::io_context &context)
{
    boost::asio::steady_timer timer(context);
    while (!process->failed()) {
        timer.expires_after(failurePollInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    context.stop();
}

template<typename Process>
int runProcess(Galenawell::ProcessSettings settings)
{
    const Galenawell::Log logger("daemon");
    const std::string name = settings.instance;
    const unsigned threadCount = settings.threads;
    boost::asio::io_context context(static_cast<int>(threadCount));
    auto process = std::make_shared<Process>(context.get_executor(), std::move(settings));
    try {
        if (const Galenawell::Status status = process->start(); !status) {
            logger.error(name + " can't start: " + status.error().message());
            return exitFailure;
        }
    } catch (const std::exception &exception) {
        logger.error(name + " can't start: " + exception.what() + "; check that the addresses are free and belong to this instance");
        return exitFailure;
    }
    logger.info(name + " is running");
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        logger.info(name + " shuts down");
        boost::asio::co_spawn(
            context, [process] { return process->shutdown(); }, [&context](const std::exception_ptr &) { context.stop(); });
    });
    if constexpr (std::is_same_v<Process, Galenawell::ControlProcess>) {
        boost::asio::co_spawn(context, stopOnFailure(process, context), boost::asio::detached);
    }
    std::vector<std::jthread> threads;
    for (unsigned index = 1; index < threadCount; ++index) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    if constexpr (std::is_same_v<Process, Galenawell::ControlProcess>) {
        if (process->failed()) {
            logger.error(name + " ends because its stored state can't be read");
            return exitFailure;
        }
    }
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    Options::options_description description("Usage: galenawelld --settings DIR\n\nRuns one process of a galenawell installation. Options");
    description.add_options()("help",
                              "print this text")("settings", Options::value<std::string>(), "folder with the process's settings (*.json)");
    Options::variables_map values;
    try {
        Options::store(Options::parse_command_line(argc, argv, description), values);
    } catch (const Options::error &error) {
        std::cerr << error.what() << "; run galenawelld --help\n";
        return exitUsage;
    }
    if (values.contains("help")) {
        std::cout << description << "\nExample:\n  galenawelld --settings /etc/galenawell/front-1\n";
        return exitOk;
    }
    if (!values.contains("settings")) {
        std::cerr << "--settings is missing; run galenawelld --help\n";
        return exitUsage;
    }
    auto settings = Galenawell::readProcessSettings(values["settings"].as<std::string>());
    if (!settings) {
        std::cerr << settings.error().message() << '\n';
        return exitSettings;
    }
    Galenawell::startLogging(settings.value().logLevel);
    if (settings.value().role == Galenawell::ProcessRole::Front) {
        return runProcess<Galenawell::FrontProcess>(std::move(settings.value()));
    }
    return runProcess<Galenawell::ControlProcess>(std::move(settings.value()));
}
