#include "galenawell/claims/crashwatch.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

namespace {

template<typename Entry>
void append(std::deque<Entry> &entries, Entry entry, std::size_t limit)
{
    entries.push_back(std::move(entry));
    if (entries.size() > limit) {
        entries.pop_front();
    }
}

} // namespace

CrashWatch::CrashWatch(CrashWatchOptions watchOptions)
    : options(watchOptions)
{
}

void CrashWatch::onLost(const CrashEvidence &loss, TimePoint now)
{
    append(this->losses, Timed{.evidence = loss, .at = now}, this->options.maximumLosses);
}

void CrashWatch::onReply(const ReplicaKey &server, Incarnation incarnation, TimePoint sentAt)
{
    std::erase_if(this->losses, [&](const Timed &loss) {
        return loss.at <= sentAt && loss.evidence.replicaIncarnation == incarnation && loss.evidence.replica == server;
    });
}

template<typename Matches>
std::size_t CrashWatch::confirm(Matches matches, TimePoint now)
{
    std::size_t confirmed = 0;
    for (const Timed &loss : this->losses) {
        if (matches(loss.evidence) && !this->isKnown(loss.evidence)) {
            append(this->evidence, Timed{.evidence = loss.evidence, .at = now, .report = this->number + 1}, this->options.maximumEvidence);
            std::erase_if(this->cleared, [&loss](const Cleared &known) { return known.content == loss.evidence.digest; });
            ++confirmed;
        }
    }
    std::erase_if(this->losses, [&](const Timed &loss) { return matches(loss.evidence); });
    this->number += confirmed > 0 ? 1 : 0;
    return confirmed;
}

bool CrashWatch::isKnown(const CrashEvidence &candidate) const
{
    return std::ranges::any_of(this->evidence, [&candidate](const Timed &known) { return known.evidence == candidate; });
}

std::size_t CrashWatch::onServerEnded(const std::string &address, TimePoint now)
{
    return this->confirm([&address](const CrashEvidence &loss) { return loss.replica.address == address; }, now);
}

std::size_t CrashWatch::onRegistered(const std::map<std::string, Incarnation> &servers, TimePoint now)
{
    const auto ended = [&servers](const CrashEvidence &loss) {
        const auto registered = servers.find(loss.replica.address);
        return registered == servers.end() || registered->second > loss.replicaIncarnation;
    };
    return this->confirm(ended, now);
}

void CrashWatch::onSuccess(const ContentDigest &content, TimePoint now)
{
    std::erase_if(this->losses, [&content](const Timed &loss) { return loss.evidence.digest == content; });
    const bool hadEvidence = std::erase_if(this->evidence, [&content](const Timed &known) { return known.evidence.digest == content; }) > 0;
    bool wasSuspect = false;
    for (auto &[control, contents] : this->suspects) {
        wasSuspect = contents.erase(content) > 0 || wasSuspect;
    }
    if (hadEvidence || wasSuspect) {
        std::erase_if(this->cleared, [&content](const Cleared &known) { return known.content == content; });
        ++this->number;
        append(this->cleared, Cleared{.content = content, .at = now, .report = this->number}, this->options.maximumCleared);
    }
}

bool CrashWatch::active() const
{
    return !this->losses.empty() || !this->evidence.empty() || this->suspectCount() > 0;
}

bool CrashWatch::isSuspect(const ContentDigest &content) const
{
    return std::ranges::any_of(this->suspects, [&content](const auto &entry) { return entry.second.contains(content); });
}

std::size_t CrashWatch::suspectCount() const
{
    std::size_t count = 0;
    for (const auto &[control, contents] : this->suspects) {
        count = std::max(count, contents.size());
    }
    return count;
}

void CrashWatch::setSuspects(const InstanceName &control, const std::vector<ContentDigest> &contents)
{
    this->suspects[control] = std::set<ContentDigest>(contents.begin(), contents.end());
}

CrashReport CrashWatch::report(std::uint64_t after) const
{
    CrashReport report{.number = this->number, .evidence = {}, .cleared = {}};
    for (const Timed &known : this->evidence) {
        if (known.report > after) {
            report.evidence.push_back(known.evidence);
        }
    }
    for (const Cleared &known : this->cleared) {
        if (known.report > after) {
            report.cleared.push_back(known.content);
        }
    }
    return report;
}

std::uint64_t CrashWatch::reportNumber() const
{
    return this->number;
}

void CrashWatch::expire(TimePoint now)
{
    const auto removeOlder = [now](auto &entries, std::chrono::milliseconds limit) {
        while (!entries.empty() && now - entries.front().at >= limit) {
            entries.pop_front();
        }
    };
    removeOlder(this->losses, this->options.confirmationTime);
    removeOlder(this->evidence, this->options.evidenceTime);
    removeOlder(this->cleared, this->options.confirmationTime);
}

} // namespace Galenawell
