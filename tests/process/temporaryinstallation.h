// An installation in a temporary folder, which is removed unless the test fails.
#pragma once

#include "process/installation.h"

#include <cstdlib>
#include <unistd.h>

namespace Galenawell::Testing {

struct TemporaryInstallation
{
    explicit TemporaryInstallation(const std::string &name, std::size_t fronts = 3)
        : folder(std::filesystem::temp_directory_path() / ("galenawell-" + name + "-" + std::to_string(::getpid())))
        , installation(InstallationOptions{.folder = this->folder,
                                           .programFolder = std::getenv("GALENAWELL_BIN"),
                                           .fronts = fronts,
                                           .services = smallServices()})
    {
        this->installation.startAll();
    }

    ~TemporaryInstallation()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    std::filesystem::path folder;
    Installation installation;
};

inline nlohmann::json searchRequest(const std::string &id)
{
    return {{"id", id}, {"caller", "test"}, {"service", "drafting-desk"}, {"body", {{"kind", "rows"}, {"prefix", ""}, {"limit", 100000}}}};
}

} // namespace Galenawell::Testing
