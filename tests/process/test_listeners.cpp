// Crowds of clients that stop short of the end of their requests, on the listeners of a front and of a control process that list
// their peers in their settings.
#include "process/platform/crowd.h"
#include "process/temporaryinstallation.h"

#include <criterion/criterion.h>

using namespace Galenawell::Testing;

namespace {

constexpr std::size_t mebibyte = std::size_t(1024) * 1024;
// The default limit of a body.
constexpr std::size_t bodyBytes = mebibyte - 1;
constexpr std::size_t chunkBytes = std::size_t(64) * 1024;
constexpr std::size_t clients = 150;
// As docs/limits.md adds it up, with the defaults: at rest, requests, 1,024 connections, and one body that is being moved.
constexpr std::size_t memoryBound = (32 + 20 + 40 + 2) * mebibyte;

void checkListener(const Installation &installation, const std::string &process, const std::string &address)
{
    const ProcessWatch watch(installation.processId(process), address.substr(0, address.find(':')));
    Crowd crowd({.address = address, .clients = clients, .bytes = chunkedHead("POST", "/v1/query") + unendedChunks(bodyBytes, chunkBytes)});
    crowd.waitUntilSettled();
    const auto answers = [&] { return httpCall({.address = installation.operatorAddress(process), .target = "/healthz"}).status != 0; };
    const bool answeredMeanwhile = waitFor(answers);
    crowd.leave();
    const std::size_t peak = watch.peaks().memoryBytes;
    cr_expect(answeredMeanwhile, "%s doesn't answer beside a crowd at %s", process.c_str(), address.c_str());
    cr_expect_leq(peak, memoryBound, "%s held %zu of %zu KiB", process.c_str(), peak / 1024, memoryBound / 1024);
}

} // namespace

// Guards against bodies that are limited one by one but not together.
Test(listeners, unended_bodies_stay_within_the_memory_for_requests, .timeout = 240)
{
    TemporaryInstallation test("listeners");
    const Installation &installation = test.installation;
    cr_assert(test.installation.waitUntilServing(smallConfiguration()));
    checkListener(installation, "front-1", installation.callerAddress("front-1"));
    checkListener(installation, "front-2", installation.backendAddress("front-2"));
    checkListener(installation, "front-3", installation.operatorAddress("front-3"));
    checkListener(installation, Installation::controlName(0), installation.operatorAddress(Installation::controlName(0)));
    cr_assert_eq(installation.query("front-1", searchRequest("after")).status, 200U);
}
