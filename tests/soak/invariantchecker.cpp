#include "soak/invariantchecker.h"

#include <sstream>

namespace Galenawell::Testing {

namespace {

constexpr std::size_t recordLength = 16;

std::vector<std::string> split(const std::string &list)
{
    std::vector<std::string> items;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item.substr(item.find_first_not_of(' ')));
    }
    return items;
}

} // namespace

InvariantChecker::InvariantChecker(std::size_t shardCount, std::string shardPrefix)
    : shards(shardCount)
    , prefix(std::move(shardPrefix))
{
}

void InvariantChecker::addViolation(const std::string &description)
{
    const std::lock_guard lock(this->mutex);
    this->foundViolations.push_back(description);
}

void InvariantChecker::onMergedReply(const std::string &requestId, const Reply &reply)
{
    {
        const std::lock_guard lock(this->mutex);
        ++this->counts["merged " + std::to_string(reply.status)];
    }
    if (reply.status != 200) {
        return;
    }
    std::set<std::string> groups;
    const std::vector<std::string> stamps = split(reply.header("Part-Stamps"));
    for (const std::string &stamp : stamps) {
        // "GROUP-REPLICA.REQUEST", as ServerStandIn sends it.
        const std::string group = stamp.substr(0, stamp.find('-'));
        if (stamp.substr(stamp.find('.') + 1) != requestId || !group.starts_with(this->prefix) || !groups.insert(group).second) {
            this->addViolation("request " + requestId + " was answered with the stamp " + stamp
                               + " of another request or of a group that is named twice");
        }
    }
    if (groups.size() + std::stoul(reply.header("Missing-Parts")) != this->shards) {
        this->addViolation("request " + requestId + " reports a wrong coverage: " + reply.header("Part-Stamps") + " and "
                           + reply.header("Missing-Parts"));
    }
    for (std::size_t start = recordLength; start + recordLength <= reply.body.size(); start += recordLength) {
        if (reply.body.substr(start, recordLength) > reply.body.substr(start - recordLength, recordLength)) {
            this->addViolation("request " + requestId + " got its records in the wrong order");
        }
    }
}

void InvariantChecker::onAtMostOnceReply(const std::string &requestId, const Reply &reply)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts["single " + std::to_string(reply.status)];
    if (reply.status == 503 || reply.status == 429 || reply.status == 408 || reply.status == 421) {
        this->reportedNotRun.insert(requestId);
    }
}

void InvariantChecker::onRunCount(const std::string &requestId, std::size_t runs)
{
    bool wasReportedNotRun = false;
    {
        const std::lock_guard lock(this->mutex);
        wasReportedNotRun = this->reportedNotRun.contains(requestId);
    }
    if (runs > 1) {
        this->addViolation("request " + requestId + ", which must run at most once, ran " + std::to_string(runs) + " times");
    }
    if (wasReportedNotRun && runs > 0) {
        this->addViolation("request " + requestId + " was refused as not run, but ran");
    }
}

void InvariantChecker::onConfigurationAcknowledged(std::uint64_t version)
{
    const std::lock_guard lock(this->mutex);
    this->acknowledged = std::max(this->acknowledged, version);
    ++this->counts["configurations"];
}

std::uint64_t InvariantChecker::newestAcknowledged() const
{
    const std::lock_guard lock(this->mutex);
    return this->acknowledged;
}

void InvariantChecker::onConfigurationRead(std::uint64_t newestBeforeRead, const Reply &reply)
{
    if (reply.status != 200) {
        return;
    }
    const nlohmann::json document = nlohmann::json::parse(reply.body, nullptr, false);
    const auto version = document.is_object() ? document.value("version", std::uint64_t{0}) : 0;
    if (version < newestBeforeRead) {
        this->addViolation("configuration " + std::to_string(version) + " was read after " + std::to_string(newestBeforeRead)
                           + " had been acknowledged");
    }
}

std::vector<std::string> InvariantChecker::violations() const
{
    const std::lock_guard lock(this->mutex);
    return this->foundViolations;
}

std::string InvariantChecker::summary() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[name, count] : this->counts) {
        text += (text.empty() ? "" : ", ") + name + ": " + std::to_string(count);
    }
    return text;
}

} // namespace Galenawell::Testing
