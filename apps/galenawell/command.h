// Exit codes, errors, options and command descriptions, shared by all commands of the command-line tool.
#pragma once

#include "galenawell/core/error.h"

#include <boost/outcome/result.hpp>

#include <boost/outcome/policy/terminate.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenawell {

// Part of the stable interface, listed in docs/operators.md.
enum class ExitCode : std::uint8_t {
    Done = 0,
    // `config diff` found differences.
    Different = 1,
    // The command line or a file named in it is wrong.
    Usage = 2,
    // A settings or configuration folder is invalid.
    Invalid = 3,
    // The server refused the request; nothing was changed.
    Refused = 4,
    // No server could be reached, or none can serve now; nothing was changed.
    Unavailable = 5,
    // The request was sent and its outcome is unknown.
    OutcomeUnknown = 6,
    // The change was made, but its effect wasn't seen everywhere within the time limit.
    NotInEffect = 7,
    // The operator token was refused.
    Unauthorised = 8,
    // The reply doesn't conform to the API.
    InvalidReply = 9,
};

struct CommandError
{
    ExitCode code = ExitCode::Usage;
    // As in the error table of docs/operators.md.
    std::string kind;
    std::string detail;
    std::string remedy;
};

template<typename T>
using CommandResult = boost::outcome_v2::result<T, CommandError, boost::outcome_v2::policy::terminate>;

CommandError usageError(std::string detail);
// Converts an error of the settings or configuration modules.
CommandError validationError(const Error &error);

// One parsed command line.
struct Invocation
{
    const boost::program_options::variables_map &options;
    std::ostream &out;
    std::ostream &err;

    bool json() const;
    bool has(const std::string &name) const;
    std::string text(const std::string &name) const;
    std::vector<std::string> texts(const std::string &name) const;
    // Refuses negative numbers, which Boost's conversion to an unsigned type would wrap.
    CommandResult<std::uint64_t> number(const std::string &name) const;
    CommandResult<std::chrono::seconds> seconds(const std::string &name) const;
    CommandResult<std::string> required(const std::string &name, std::string_view meaning) const;
};

// Options and positional arguments of one command.
struct CommandOptions
{
    boost::program_options::options_description visible;
    // Declares the positional arguments; --help doesn't list them.
    boost::program_options::options_description hidden;
    boost::program_options::positional_options_description positions;

    // Adds a positional argument of `count` values; -1 takes all remaining ones.
    void addArgument(const char *name, int count);
};

struct Command
{
    // One or two words.
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::string_view examples;
    void (*addOptions)(CommandOptions &options);
    CommandResult<ExitCode> (*run)(const Invocation &invocation);
};

std::span<const Command> configCommands();
std::span<const Command> statusCommands();
std::span<const Command> membersCommands();
std::span<const Command> searchCommands();

} // namespace Galenawell
