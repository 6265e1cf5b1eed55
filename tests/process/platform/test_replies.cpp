// Requests that aren't idempotent, to servers whose replies can't be relied on. GALENAWELL_REPLY_SEEDS sets the number of rounds.
#include "process/platform/platforminstallation.h"
#include "process/platform/unreliableserver.h"

#include <criterion/criterion.h>
#include <memory>
#include <thread>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t callerCount = 4;
constexpr std::size_t requestsOfCaller = 50;

nlohmann::json archiveConfiguration()
{
    return {{"version", 7},
            {"routes",
             {{{"name", "one"},
               {"host", "h.example"},
               {"path_prefix", "/one/"},
               {"kind", "unsafe"},
               {"timeout_ms", 20000},
               {"service", "archive"},
               {"max_attempts", 2}}}},
            {"services", {{{"name", "archive"}, {"connection_limit", 40}}}}};
}

Reply sendRequest(const PlatformInstallation &installation, const std::string &id)
{
    return call({.address = installation.callerAddress("front1"),
                 .method = "POST",
                 .target = "/one/x",
                 .headers = {{"Host", "h.example"}, {"Attempt-Id", id}, {"Time-Remaining", "20000"}},
                 .body = id,
                 .timeout = 22s});
}

// Empty if the reply is true of what the servers did.
std::string violation(const std::string &id, const Reply &reply, const RunRecord &record)
{
    if (record.runs > 1) {
        return "ran " + std::to_string(record.runs) + " times";
    }
    const bool saysNotRun = reply.status == 503 || reply.status == 429 || reply.status == 421 || reply.status == 408;
    if (saysNotRun && record.runs > 0) {
        return "ran, and the reply says that it hasn't";
    }
    if (record.replied && reply.status != 200) {
        return "the server's reply was not delivered";
    }
    if (reply.status == 200 && (record.runs != 1 || reply.body != id || !reply.header("Server-Stamp").ends_with("." + id))) {
        return "got the reply to another request";
    }
    return "";
}

std::uint64_t roundCount()
{
    const char *text = std::getenv("GALENAWELL_REPLY_SEEDS");
    return text == nullptr ? 3 : std::stoull(text);
}

} // namespace

// Guards against a reply to an earlier request being taken for the reply to this one: it would run twice, be called not run although it
// has, or lose its own reply (review/6).
Test(replies, each_request_gets_its_own_reply_from_servers_that_send_replies_late_and_twice)
{
    RunBook book;
    PlatformInstallation installation(3, 1);
    installation.startAll();
    UnreliableServer first("i-first", book);
    UnreliableServer second("i-second", book);
    const std::jthread heartbeats([&](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            installation.announce(first.identity(), first.heartbeat());
            installation.announce(second.identity(), second.heartbeat());
            std::this_thread::sleep_for(250ms);
        }
    });
    cr_assert(installation.putUntilAcknowledged(archiveConfiguration()));
    cr_assert(waitUntil([&] { return sendRequest(installation, "probe").status == 200; }));

    for (std::uint64_t seed = 1; seed <= roundCount(); ++seed) {
        first.seed(seed);
        second.seed(~seed);
        std::array<std::vector<std::pair<std::string, Reply>>, callerCount> replies;
        std::vector<std::jthread> callers;
        for (std::size_t caller = 0; caller < callerCount; ++caller) {
            callers.emplace_back([&, caller] {
                for (std::size_t number = 0; number < requestsOfCaller; ++number) {
                    const std::string id = "r" + std::to_string(seed) + "-" + std::to_string(caller) + "-" + std::to_string(number);
                    replies[caller].emplace_back(id, sendRequest(installation, id));
                }
            });
        }
        callers.clear();
        std::size_t delivered = 0;
        for (const auto &ofCaller : replies) {
            for (const auto &[id, reply] : ofCaller) {
                const std::string found = violation(id, reply, book.find(id));
                cr_expect(found.empty(), "seed %lu, %s answered %u: %s", seed, id.c_str(), reply.status, found.c_str());
                delivered += reply.status == 200 ? 1 : 0;
            }
        }
        // Most requests meet a server that runs them in one of their attempts.
        cr_expect_geq(delivered, callerCount * requestsOfCaller / 2, "seed %lu: %zu delivered", seed, delivered);
    }
}
