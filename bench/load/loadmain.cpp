// Entry point of galenawell-load. Exit status: 0 no wrong reply, 1 the run failed, 2 invalid arguments, 3 a wrong reply.
#include "loaddriver.h"
#include "loadoptions.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace Galenawell;
using namespace Galenawell::Load;

int runLoad(const LoadOptions &options)
{
    boost::asio::io_context context(1);
    LoadDriver driver(context, options);
    std::optional<Error> failure;
    boost::asio::co_spawn(context, driver.run(), [&](const std::exception_ptr &exception, std::optional<Error> result) {
        failure = exception ? makeError(ErrorKind::Internal, "the driver stopped with an exception") : std::move(result);
        context.stop();
    });
    context.run();
    if (failure) {
        std::cerr << "load: " << failure->message() << '\n';
        return 1;
    }
    if (options.json) {
        std::cout << driver.report().toJson(driver.elapsed()).dump(2) << '\n';
    } else {
        std::cout << driver.report().formatTable(driver.elapsed());
    }
    return driver.report().wrong() == 0 ? 0 : 3;
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseLoadOptions(argc, argv);
    if (!options) {
        std::cerr << "load: " << options.error().message() << '\n';
        return 2;
    }
    return options.value() ? runLoad(*options.value()) : 0;
}
