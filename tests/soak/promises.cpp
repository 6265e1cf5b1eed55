#include "soak/promises.h"

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

Promises::Promises(std::size_t shardCount, std::string shardPrefix)
    : shards(shardCount)
    , prefix(std::move(shardPrefix))
{
}

void Promises::violate(const std::string &sentence)
{
    const std::lock_guard lock(this->mutex);
    this->broken.push_back(sentence);
}

void Promises::onMerged(const std::string &requestId, const Reply &reply)
{
    {
        const std::lock_guard lock(this->mutex);
        ++this->counts["merged " + std::to_string(reply.status)];
    }
    if (reply.status != 200) {
        return;
    }
    std::set<std::string> groups;
    const std::vector<std::string> proofs = split(reply.header("Part-Stamps"));
    for (const std::string &proof : proofs) {
        // "GROUP-REPLICA.REQUEST", as the stand-in makes it.
        const std::string group = proof.substr(0, proof.find('-'));
        if (proof.substr(proof.find('.') + 1) != requestId || !group.starts_with(this->prefix) || !groups.insert(group).second) {
            this->violate("request " + requestId + " was answered with the proof " + proof + " of another request, or twice of a group");
        }
    }
    if (groups.size() + std::stoul(reply.header("Missing-Parts")) != this->shards) {
        this->violate("request " + requestId + " states a wrong coverage: " + reply.header("Part-Stamps") + " and "
                      + reply.header("Missing-Parts"));
    }
    for (std::size_t start = recordLength; start + recordLength <= reply.body.size(); start += recordLength) {
        if (reply.body.substr(start, recordLength) > reply.body.substr(start - recordLength, recordLength)) {
            this->violate("request " + requestId + " got its records out of order");
        }
    }
}

void Promises::onSingle(const std::string &requestId, const Reply &reply)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts["single " + std::to_string(reply.status)];
    if (reply.status == 503 || reply.status == 429 || reply.status == 408 || reply.status == 421) {
        this->promisedNotRun.insert(requestId);
    }
}

void Promises::onRun(const std::string &requestId, std::size_t runs)
{
    bool promised = false;
    {
        const std::lock_guard lock(this->mutex);
        promised = this->promisedNotRun.contains(requestId);
    }
    if (runs > 1) {
        this->violate("request " + requestId + ", which must run at most once, ran " + std::to_string(runs) + " times");
    }
    if (promised && runs > 0) {
        this->violate("request " + requestId + " was refused as not run, but ran");
    }
}

void Promises::onAcknowledged(std::uint64_t version)
{
    const std::lock_guard lock(this->mutex);
    this->acknowledged = std::max(this->acknowledged, version);
    ++this->counts["configurations"];
}

std::uint64_t Promises::newestAcknowledged() const
{
    const std::lock_guard lock(this->mutex);
    return this->acknowledged;
}

void Promises::onRead(std::uint64_t newestAtAsking, const Reply &reply)
{
    if (reply.status != 200) {
        return;
    }
    const nlohmann::json document = nlohmann::json::parse(reply.body, nullptr, false);
    const auto version = document.is_object() ? document.value("version", std::uint64_t{0}) : 0;
    if (version < newestAtAsking) {
        this->violate("configuration " + std::to_string(version) + " was read after " + std::to_string(newestAtAsking)
                      + " had been acknowledged");
    }
}

std::vector<std::string> Promises::violations() const
{
    const std::lock_guard lock(this->mutex);
    return this->broken;
}

std::string Promises::summary() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[name, count] : this->counts) {
        text += (text.empty() ? "" : ", ") + name + ": " + std::to_string(count);
    }
    return text;
}

} // namespace Galenawell::Testing
