#include "galenawell/commandline.h"

#include "galenawell/command.h"
#include "galenawell/table.h"

#include <algorithm>
#include <boost/outcome/try.hpp>

namespace Galenawell {

namespace Detail {

namespace {

namespace po = boost::program_options;

constexpr std::string_view exitCodeSummary
    = "Exit codes: 0 done, 1 differences (config diff), 2 wrong command line, 3 invalid files, 4 refused,\n"
      "5 not available, 6 outcome unknown, 7 not in effect in time, 8 token refused, 9 invalid reply.\n";

std::vector<Command> allCommands()
{
    std::vector<Command> commands;
    for (const auto &group : {configCommands(), statusCommands(), membersCommands(), searchCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

bool isHelpRequest(const std::string &word)
{
    return word == "--help" || word == "-h" || word == "help";
}

void printOverview(std::ostream &out, const std::vector<Command> &commands, const std::string &group)
{
    constexpr std::size_t summaryColumn = 34;
    out << "Usage: galenawell COMMAND [ARGUMENTS] [OPTIONS]\n\n";
    for (const Command &command : commands) {
        if (!group.empty() && !command.name.starts_with(group + " ")) {
            continue;
        }
        std::string line = "  " + std::string(command.name) + " " + std::string(command.arguments);
        line.resize(std::max(line.size() + 1, summaryColumn), ' ');
        out << line << command.summary << '\n';
    }
    out << "\n`galenawell COMMAND --help` shows options and examples.\n" << exitCodeSummary;
}

// Number of leading words that form the command's name; 0 if they don't.
std::size_t countMatchingWords(const Command &command, const std::vector<std::string> &words)
{
    const std::size_t space = command.name.find(' ');
    if (space == std::string_view::npos) {
        return !words.empty() && words[0] == command.name ? 1 : 0;
    }
    const bool bothMatch = words.size() > 1 && words[0] == command.name.substr(0, space) && words[1] == command.name.substr(space + 1);
    return bothMatch ? 2 : 0;
}

struct Selection
{
    const Command *command = nullptr;
    std::size_t wordCount = 0;
};

// Selects the longest matching name, so that `members add` takes precedence over `members`.
Selection selectCommand(const std::vector<Command> &commands, const std::vector<std::string> &words)
{
    Selection selection;
    for (const Command &command : commands) {
        const std::size_t matched = countMatchingWords(command, words);
        if (matched > selection.wordCount) {
            selection = {.command = &command, .wordCount = matched};
        }
    }
    return selection;
}

bool isGroup(const std::vector<Command> &commands, const std::string &word)
{
    const auto inGroup = [&word](const Command &command) { return command.name.starts_with(word + " "); };
    return std::any_of(commands.begin(), commands.end(), inGroup);
}

void printHelp(std::ostream &out, const Command &command, const CommandOptions &options)
{
    out << "Usage: galenawell " << command.name;
    if (!command.arguments.empty()) {
        out << ' ' << command.arguments;
    }
    out << " [OPTIONS]\n\n"
        << command.summary << "\n\nOptions:\n"
        << options.visible << "\nExamples:\n"
        << command.examples << '\n'
        << exitCodeSummary;
}

CommandResult<po::variables_map> parseOptions(const CommandOptions &options, const std::vector<std::string> &arguments)
{
    po::options_description all;
    all.add(options.visible).add(options.hidden);
    // Abbreviated options are refused, because an option added later could change their meaning.
    const int style = po::command_line_style::default_style & ~po::command_line_style::allow_guessing;
    po::variables_map values;
    try {
        po::store(po::command_line_parser(arguments).options(all).positional(options.positions).style(style).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        return usageError(error.what());
    }
    return values;
}

struct Streams
{
    std::ostream &out;
    std::ostream &err;
};

CommandResult<ExitCode>
runCommand(const Command &command, const CommandOptions &options, const std::vector<std::string> &arguments, Streams streams)
{
    BOOST_OUTCOME_TRY(const po::variables_map values, parseOptions(options, arguments));
    if (values.count("help") > 0) {
        printHelp(streams.out, command, options);
        return ExitCode::Done;
    }
    return command.run(Invocation{.options = values, .out = streams.out, .err = streams.err});
}

int reportError(const CommandError &error, bool json, std::ostream &out, std::ostream &err)
{
    const int code = static_cast<int>(error.code);
    if (json) {
        const nlohmann::json document{{"error", error.detail}, {"kind", error.kind}, {"remedy", error.remedy}, {"exitCode", code}};
        printJson(out, document);
    } else {
        err << "galenawell: " << error.detail << "; " << error.remedy << '\n';
    }
    return code;
}

} // namespace

} // namespace Detail

int runCommandLine(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    const std::vector<Command> commands = Detail::allCommands();
    if (words.empty() || Detail::isHelpRequest(words.front())) {
        Detail::printOverview(words.empty() ? err : out, commands, "");
        return static_cast<int>(words.empty() ? ExitCode::Usage : ExitCode::Done);
    }
    const bool json = std::find(words.begin(), words.end(), "--json") != words.end();
    const Detail::Selection selection = Detail::selectCommand(commands, words);
    if (selection.command == nullptr) {
        if (Detail::isGroup(commands, words.front()) && words.size() > 1 && Detail::isHelpRequest(words[1])) {
            Detail::printOverview(out, commands, words.front());
            return static_cast<int>(ExitCode::Done);
        }
        return Detail::reportError(usageError("unknown command \"" + words.front() + "\""), json, out, err);
    }
    CommandOptions options;
    options.visible.add_options()("help,h", "show this help")("json", "print JSON for programs");
    selection.command->addOptions(options);
    const std::vector<std::string> arguments(words.begin() + static_cast<std::ptrdiff_t>(selection.wordCount), words.end());
    const CommandResult<ExitCode> result = Detail::runCommand(*selection.command, options, arguments, {.out = out, .err = err});
    if (result.has_error()) {
        return Detail::reportError(result.error(), json, out, err);
    }
    out.flush();
    // A result that could not be printed must not exit with success.
    return static_cast<int>(out.good() ? result.value() : ExitCode::OutcomeUnknown);
}

} // namespace Galenawell
