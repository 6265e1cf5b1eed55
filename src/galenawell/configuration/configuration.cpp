#include "galenawell/configuration/configuration.h"

#include "galenawell/settings/objectreader.h"

#include <nlohmann/json.hpp>
#include <numeric>
#include <xxhash.h>

namespace Galenawell {

namespace Detail {

namespace {

using namespace std::chrono_literals;

// Ranges of the configuration; docs/operators.md lists them with the defaults.
constexpr DurationRange cacheDurationRange{.minimum = 100ms, .maximum = 10min};
// A claim must outlast a caller's retries; the upper bound limits the size of the in-memory ledger.
constexpr DurationRange retentionRange{.minimum = 1min, .maximum = 168h};
// An answer shares one frame of at most 4 MiB with other log entries.
constexpr IntegerRange answerBytesRange{.minimum = 0, .maximum = std::uint64_t{1024} * 1024};
constexpr DurationRange quarantineRange{.minimum = 1s, .maximum = 24h};
constexpr DurationRange deadlineRange{.minimum = 1ms, .maximum = 1h};
constexpr DurationRange rampUpRange{.minimum = 0ms, .maximum = 10min};
constexpr DurationRange hedgeDelayRange{.minimum = 0ms, .maximum = 1min};
constexpr IntegerRange concurrencyRange{.minimum = 1, .maximum = 65536};
constexpr IntegerRange queueLengthRange{.minimum = 1, .maximum = 1'000'000};
// The floors of the lower priorities together leave at least half of the starts to urgent requests.
constexpr IntegerRange floorRange{.minimum = 0, .maximum = 50};
constexpr unsigned maximumFloorSum = 50;
constexpr IntegerRange sharePercentRange{.minimum = 1, .maximum = 100};
constexpr NumberRange budgetPercentRange{.minimum = 0.0, .maximum = 100.0};
constexpr NumberRange quantileRange{.minimum = 0.5, .maximum = 0.999};

constexpr std::array<const char *, priorityCount> priorityKeys{"urgent", "standard", "bulk"};

constexpr std::array kinds{
    Choice<ServiceKind>{"sharded", ServiceKind::Sharded},
    Choice<ServiceKind>{"pool", ServiceKind::Pool},
};

void readFloorPercent(ObjectReader reader, std::array<unsigned, priorityCount> &floorPercent)
{
    // Urgent requests need no floor because no priority is higher.
    for (std::size_t index = 1; index < priorityCount; ++index) {
        reader.integer(priorityKeys.at(index), floorPercent.at(index), floorRange);
    }
    reader.finish();
}

void readConcurrencyPercent(ObjectReader reader, std::array<unsigned, priorityCount> &sharePercent)
{
    for (std::size_t index = 0; index < priorityCount; ++index) {
        reader.integer(priorityKeys.at(index), sharePercent.at(index), sharePercentRange);
    }
    reader.finish();
}

void readAdmission(ObjectReader reader, AdmissionOptions &admission)
{
    reader.integer("minimumConcurrency", admission.minimumConcurrency, concurrencyRange);
    reader.integer("maximumConcurrency", admission.maximumConcurrency, concurrencyRange);
    reader.integer("queueLength", admission.queueLength, queueLengthRange);
    readFloorPercent(reader.object("floorPercent"), admission.floorPercent);
    readConcurrencyPercent(reader.object("concurrencyPercent"), admission.concurrencyPercent);
    if (admission.minimumConcurrency > admission.maximumConcurrency) {
        reader.fail("minimumConcurrency", "must be at most maximumConcurrency, " + std::to_string(admission.maximumConcurrency));
    }
    const unsigned floorSum = std::accumulate(admission.floorPercent.begin(), admission.floorPercent.end(), 0U);
    if (floorSum > maximumFloorSum) {
        reader.fail("floorPercent",
                    "must add up to at most " + std::to_string(maximumFloorSum) + " percent, is " + std::to_string(floorSum));
    }
    reader.finish();
}

void readHedge(ObjectReader reader, HedgeOptions &hedge)
{
    reader.boolean("enabled", hedge.enabled);
    reader.number("budgetPercent", hedge.budgetPercent, budgetPercentRange);
    reader.number("quantile", hedge.quantile, quantileRange);
    reader.duration("minimumDelayMs", hedge.minimumDelay, hedgeDelayRange);
    reader.finish();
}

void readDeadlines(ObjectReader &reader, ServiceOptions &service)
{
    reader.duration("defaultDeadlineMs", service.defaultDeadline, deadlineRange);
    reader.duration("maximumDeadlineMs", service.maximumDeadline, deadlineRange);
    reader.duration("subrequestTimeoutMs", service.subrequestTimeout, deadlineRange);
    const std::string maximum = std::to_string(service.maximumDeadline.count()) + " milliseconds";
    if (service.defaultDeadline > service.maximumDeadline) {
        reader.fail("defaultDeadlineMs", "must be at most maximumDeadlineMs, " + maximum);
    }
    if (service.subrequestTimeout > service.maximumDeadline) {
        reader.fail("subrequestTimeoutMs", "must be at most maximumDeadlineMs, " + maximum);
    }
}

ServiceOptions readService(const std::string &name, ObjectReader reader)
{
    ServiceOptions service;
    service.name = name;
    reader.require("kind", "\"sharded\" or \"pool\"");
    reader.choice<ServiceKind>("kind", service.kind, kinds);
    readDeadlines(reader, service);
    readAdmission(reader.object("admission"), service.admission);
    readHedge(reader.object("hedge"), service.hedge);
    reader.number("retryBudgetPercent", service.retryBudgetPercent, budgetPercentRange);
    reader.duration("rampUpMs", service.rampUp, rampUpRange);
    reader.finish();
    return service;
}

std::map<std::string, ServiceOptions> readServices(ObjectReader reader)
{
    std::map<std::string, ServiceOptions> services;
    for (auto &[name, member] : reader.members()) {
        if (!nameRule.accepts(name)) {
            reader.fail(name, "the service name must be " + std::string(nameRule.allowed));
        }
        services.emplace(name, readService(name, member));
    }
    return services;
}

void readEntry(ObjectReader reader, EntryOptions &entry)
{
    reader.duration("keepMs", entry.cacheDuration, cacheDurationRange);
    reader.finish();
}

void readClaims(ObjectReader reader, ClaimOptions &claims)
{
    reader.duration("retentionMs", claims.retention, retentionRange);
    reader.integer("maximumAnswerBytes", claims.maximumAnswerBytes, answerBytesRange);
    reader.finish();
}

void readQuarantine(ObjectReader reader, QuarantineOptions &quarantine)
{
    reader.duration("durationMs", quarantine.duration, quarantineRange);
    reader.finish();
}

void checkSize(const nlohmann::json &document, FirstError &firstError)
{
    const std::size_t size = canonicalText(document).size();
    if (size > maximumConfigurationBytes) {
        firstError.add(
            "", "must have at most " + std::to_string(maximumConfigurationBytes) + " bytes as canonical text, has " + std::to_string(size));
    }
}

Result<Configuration> parse(const nlohmann::json &document, const MergedFolder *folder)
{
    FirstError firstError(ErrorKind::InvalidConfiguration, folder);
    ObjectReader reader(document, "", firstError);
    Configuration configuration;
    readEntry(reader.object("entry"), configuration.entry);
    readClaims(reader.object("claims"), configuration.claims);
    readQuarantine(reader.object("quarantine"), configuration.quarantine);
    reader.require("services", "an object with one member per service");
    configuration.services = readServices(reader.object("services"));
    reader.finish();
    if (!firstError.failed()) {
        checkSize(document, firstError);
    }
    if (firstError.failed()) {
        return firstError.error();
    }
    return configuration;
}

} // namespace

} // namespace Detail

const ServiceOptions *Configuration::findService(const std::string &name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

Result<Configuration> parseConfiguration(const nlohmann::json &document)
{
    return Detail::parse(document, nullptr);
}

Result<Configuration> parseConfiguration(const MergedFolder &folder)
{
    return Detail::parse(folder.document, &folder);
}

std::string canonicalText(const nlohmann::json &document)
{
    // nlohmann::json sorts members by key. Replacing invalid UTF-8, which no parsed document has, avoids an exception.
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string configurationDigest(const nlohmann::json &document)
{
    constexpr std::string_view hexadecimal = "0123456789abcdef";
    constexpr unsigned digitCount = 16;
    constexpr unsigned bitsPerDigit = 4;
    const std::string text = canonicalText(document);
    std::uint64_t hash = XXH64(text.data(), text.size(), 0);
    std::string digest(digitCount, '0');
    for (unsigned position = digitCount; position > 0; --position) {
        digest[position - 1] = hexadecimal[hash & 0xF];
        hash >>= bitsPerDigit;
    }
    return digest;
}

} // namespace Galenawell
