// Creates a temporary folder and deletes it in the destructor.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace Galenawell::Testing {

struct TemporaryFolder
{
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "galenawell-test-XXXXXX").string();
        this->path = mkdtemp(name.data());
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    ~TemporaryFolder()
    {
        std::filesystem::remove_all(this->path);
    }

    std::string path;
};

} // namespace Galenawell::Testing
