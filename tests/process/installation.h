// An installation on loopback for process tests, the demonstration and measurements: fronts, control processes and the
// stand-in for backend servers as separate processes, with their settings, data and logs in one folder.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Galenawell::Testing {

struct InstallationOptions
{
    std::filesystem::path folder;
    // Folder with galenawelld and galenawell-standin.
    std::filesystem::path programFolder;
    std::size_t fronts = 3;
    std::size_t controls = 3;
    std::size_t dataCentres = 3;
    // Value of "services" in the stand-in's file.
    nlohmann::json services;
    std::string logLevel = "info";
};

struct HttpReply
{
    // 0 if there was no complete reply.
    unsigned status = 0;
    std::string body;

    nlohmann::json json() const;
};

struct HttpCall
{
    std::string address;
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string token;
    std::chrono::milliseconds timeout{10000};
};

HttpReply httpCall(const HttpCall &call);

// Services of the stand-in: a sharded service and a pool service.
nlohmann::json smallServices();
// Configuration for these services.
nlohmann::json smallConfiguration();

class Installation
{
public:
    explicit Installation(InstallationOptions options);
    // Kills every process that it started.
    ~Installation();
    Installation(const Installation &) = delete;
    Installation &operator=(const Installation &) = delete;

    void startAll();
    void start(const std::string &instance);
    void startStandin();
    void sendSignal(const std::string &instance, int signal);
    // Returns the exit status (128 plus the number of a signal that ended the process), or -1 after the timeout.
    int waitForExit(const std::string &instance, std::chrono::milliseconds timeout);
    void kill(const std::string &instance);
    // Simulates the loss of the disk of a stopped control process.
    void deleteDataFolder(const std::string &instance);

    static std::string frontName(std::size_t index);
    static std::string controlName(std::size_t index);
    std::string callerAddress(const std::string &front) const;
    std::string operatorAddress(const std::string &instance) const;
    std::string backendAddress(const std::string &front) const;
    int processId(const std::string &instance) const;
    std::string standinControlAddress() const;
    std::string tokenFile() const;
    const std::string &token() const;

    HttpReply
    query(const std::string &front, const nlohmann::json &body, std::chrono::milliseconds timeout = std::chrono::milliseconds(15000)) const;
    HttpReply admin(const std::string &front, const std::string &method, const std::string &path, const nlohmann::json &body = {}) const;
    HttpReply applyConfiguration(const std::string &front, std::uint64_t number, const nlohmann::json &content) const;
    HttpReply standinControl(const std::string &action, const nlohmann::json &filter) const;
    // Value of a series, given as its name and labels; 0 if absent.
    double metric(const std::string &instance, const std::string &series) const;
    std::string leader() const;

    // Applies the configuration and waits until a search through every front succeeds.
    bool waitUntilServing(const nlohmann::json &configuration, std::chrono::milliseconds timeout = std::chrono::milliseconds(60000));

private:
    struct Instance
    {
        bool front = false;
        std::uint16_t peerPort = 0;
        std::uint16_t operatorPort = 0;
        std::uint16_t callerPort = 0;
        std::uint16_t backendPort = 0;
        std::string dataCentre;
        int processId = 0;
    };

    void writeSettings();
    void writeStandinFile();
    int launch(const std::string &name, const std::vector<std::string> &arguments);

    InstallationOptions options;
    std::map<std::string, Instance> instances;
    std::uint16_t standinPort = 0;
    int standinProcess = 0;
    std::string operatorToken;
};

// Polls until the condition holds; false after the timeout.
bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout = std::chrono::milliseconds(30000));

} // namespace Galenawell::Testing
