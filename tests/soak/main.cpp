// Command line of the soak. Exits with 1 if an invariant was violated.
#include "soak/soak.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    namespace Options = boost::program_options;
    Galenawell::Testing::SoakOptions soak;
    std::int64_t seconds = soak.faultDuration.count();
    Options::options_description description("Usage: galenawell-soak [options]\n\nRuns an installation under random faults. Options");
    description.add_options()("help", "print this text")("seed", Options::value(&soak.seed), "seed of the faults")(
        "seconds", Options::value(&seconds), "duration of the fault phase")(
        "controls", Options::value(&soak.controls), "control processes, 3 or more")("fronts", Options::value(&soak.fronts), "fronts")(
        "shards", Options::value(&soak.shards), "shards")("verbose", "print each fault");
    Options::variables_map values;
    try {
        Options::store(Options::parse_command_line(argc, argv, description), values);
        Options::notify(values);
    } catch (const Options::error &error) {
        std::cerr << error.what() << "; run galenawell-soak --help\n";
        return 2;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    soak.faultDuration = std::chrono::seconds(seconds);
    soak.verbose = values.contains("verbose");
    Galenawell::Testing::Soak run(soak);
    const std::vector<std::string> violations = run.run();
    std::cout << "seed " << soak.seed << ": " << run.summary() << '\n';
    for (const std::string &violation : violations) {
        std::cout << "seed " << soak.seed << ": " << violation << '\n';
    }
    return violations.empty() ? 0 : 1;
}
