#include "galenawell/command.h"

#include <boost/outcome/try.hpp>
#include <charconv>

namespace Galenawell {

CommandError usageError(std::string detail)
{
    return CommandError{.code = ExitCode::Usage,
                        .kind = "usage",
                        .detail = std::move(detail),
                        .remedy = "run the command with --help for its arguments and examples"};
}

CommandError validationError(const Error &error)
{
    return CommandError{.code = ExitCode::Invalid,
                        .kind = std::string(toString(error.kind)),
                        .detail = error.detail,
                        .remedy = std::string(remedyFor(error.kind))};
}

bool Invocation::json() const
{
    return this->has("json");
}

bool Invocation::has(const std::string &name) const
{
    return this->options.count(name) > 0;
}

std::string Invocation::text(const std::string &name) const
{
    return this->has(name) ? this->options[name].as<std::string>() : std::string();
}

std::vector<std::string> Invocation::texts(const std::string &name) const
{
    return this->has(name) ? this->options[name].as<std::vector<std::string>>() : std::vector<std::string>();
}

CommandResult<std::uint64_t> Invocation::number(const std::string &name) const
{
    const std::string digits = this->text(name);
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (failure != std::errc{} || end != digits.data() + digits.size()) {
        return usageError(name + " must be a whole number from 0, is \"" + digits + "\"");
    }
    return value;
}

CommandResult<std::chrono::seconds> Invocation::seconds(const std::string &name) const
{
    constexpr std::uint64_t maximumSeconds = 3600;
    BOOST_OUTCOME_TRY(const std::uint64_t value, this->number(name));
    if (value == 0 || value > maximumSeconds) {
        return usageError(name + " must be from 1 to " + std::to_string(maximumSeconds) + " seconds");
    }
    return std::chrono::seconds(value);
}

CommandResult<std::string> Invocation::required(const std::string &name, std::string_view meaning) const
{
    std::string value = this->text(name);
    if (value.empty()) {
        return usageError(std::string(meaning) + " is required");
    }
    return value;
}

void CommandOptions::addArgument(const char *name, int count)
{
    namespace po = boost::program_options;
    if (count == 1) {
        this->hidden.add_options()(name, po::value<std::string>());
    } else {
        this->hidden.add_options()(name, po::value<std::vector<std::string>>());
    }
    this->positions.add(name, count);
}

} // namespace Galenawell
