#include "galenawell/telemetry/eventlog.h"

#include <array>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace Galenawell;

namespace {

class Pipe
{
public:
    Pipe()
    {
        cr_assert(::pipe(this->ends.data()) == 0);
    }

    ~Pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    std::vector<nlohmann::json> lines() const
    {
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> chunk{};
        for (ssize_t got = 0; (got = ::read(this->ends[0], chunk.data(), chunk.size())) > 0;) {
            text.append(chunk.data(), static_cast<std::size_t>(got));
        }
        std::vector<nlohmann::json> parsed;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);) {
            parsed.push_back(nlohmann::json::parse(line));
        }
        return parsed;
    }

    std::array<int, 2> ends{};
};

} // namespace

// Guards against lines that aren't valid JSON, whatever bytes a caller sends.
Test(eventlog, every_line_is_a_json_object_with_the_fields_written)
{
    Pipe pipe;
    EventLog log({.descriptor = pipe.ends[1], .instance = "front-1"});
    log.write(EventKind::Refusal, Event("refused").text("path", "/a\"b\\c\n\x01\xff").number("count", -3).flag("hedge", true));
    log.flush();
    const std::vector<nlohmann::json> lines = pipe.lines();
    cr_assert(lines.size() == 1);
    cr_assert(lines[0].at("event") == "refused" && lines[0].at("instance") == "front-1");
    cr_assert(lines[0].at("count") == -3 && lines[0].at("hedge") == true);
    cr_assert(lines[0].at("time").is_number_integer());
}

// Guards against a log volume that grows with the load, and against a flood of one kind displacing the others.
Test(eventlog, each_kind_has_its_own_rate_limit)
{
    Pipe pipe;
    EventLogOptions options{.descriptor = pipe.ends[1], .instance = "i"};
    options.linesPerSecond.fill(0.001);
    options.linesPerSecond.at(static_cast<std::size_t>(EventKind::Answer)) = 2;
    options.linesPerSecond.at(static_cast<std::size_t>(EventKind::Refusal)) = 1;
    EventLog log(options);
    for (int index = 0; index < 1000; ++index) {
        log.write(EventKind::Answer, Event("answered"));
    }
    log.write(EventKind::Refusal, Event("refused"));
    log.flush();
    const std::vector<nlohmann::json> lines = pipe.lines();
    const auto answers
        = std::count_if(lines.begin(), lines.end(), [](const nlohmann::json &line) { return line.at("event") == "answered"; });
    const auto refusals
        = std::count_if(lines.begin(), lines.end(), [](const nlohmann::json &line) { return line.at("event") == "refused"; });
    cr_assert(answers == 10, "%ld", static_cast<long>(answers));
    cr_assert(refusals == 1);
    cr_assert(!log.shouldLog(EventKind::Answer) && log.shouldLog(EventKind::Refusal));
}

// Guards against a process that blocks because nobody reads its output.
Test(eventlog, a_full_pipe_drops_lines_and_never_blocks, .timeout = 20)
{
    Pipe pipe;
    EventLogOptions options{.descriptor = pipe.ends[1], .instance = "i", .maximumBufferedBytes = 32 * 1024};
    options.linesPerSecond.fill(1e9);
    EventLog log(options);
    const std::string filler(500, 'x');
    for (int index = 0; index < 2000; ++index) {
        log.write(EventKind::State, Event("state").text("filler", filler));
        log.flush();
    }
    cr_assert(log.dropped() > 0);
    const std::size_t before = pipe.lines().size();
    cr_assert(before > 0);
    log.flush();
    // The buffered lines follow completely, the first from the byte at which its write ended.
    cr_assert(pipe.lines().size() > 0);
}
