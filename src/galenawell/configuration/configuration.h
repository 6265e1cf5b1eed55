// The shared configuration: what operators set for the whole installation. Immutable once parsed.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/settings/settingsfolder.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Galenawell {

enum class ServiceKind : std::uint8_t {
    // Every query goes to one replica of each group.
    Sharded,
    // Every request goes to one replica.
    Pool,
};

// Limit of the canonical text, so that a view of the configuration fits into one frame between processes (4 MiB).
inline constexpr std::size_t maximumConfigurationBytes = std::size_t{1024} * 1024;

struct AdmissionOptions
{
    // Requests that may run at once in one front; the learnt limit stays within these.
    std::size_t minimumConcurrency = 2;
    std::size_t maximumConcurrency = 256;
    // Waiting requests per priority.
    std::size_t queueLength = 512;
    // Share of starts, in percent, that each priority keeps when a higher priority floods. Urgent has none.
    std::array<unsigned, priorityCount> floorPercent{0, 10, 5};
    // Share of the concurrency limit, in percent, that each priority may use.
    std::array<unsigned, priorityCount> concurrencyPercent{100, 80, 50};
};

struct HedgeOptions
{
    bool enabled = true;
    // Extra subrequests, in percent of all subrequests.
    double budgetPercent = 5.0;
    double quantile = 0.95;
    std::chrono::milliseconds minimumDelay{5};
    // Replies before the quantile counts as known, and the delay until then: long enough that only what is most likely
    // lost is hedged.
    std::uint32_t minimumSamples = 100;
    std::chrono::milliseconds initialDelay{1000};
};

struct ServiceOptions
{
    std::string name;
    ServiceKind kind = ServiceKind::Sharded;
    std::chrono::milliseconds defaultDeadline{2000};
    std::chrono::milliseconds maximumDeadline{600000};
    // Time limit of one subrequest within the request's deadline.
    std::chrono::milliseconds subrequestTimeout{1000};
    AdmissionOptions admission;
    HedgeOptions hedge;
    double retryBudgetPercent = 10.0;
    std::chrono::milliseconds rampUp{5000};
};

struct EntryOptions
{
    // How long a caller may keep the answer to "which entry instance".
    std::chrono::milliseconds cacheDuration{10000};
};

struct ClaimOptions
{
    std::chrono::milliseconds retention{std::chrono::hours(24)};
    std::size_t maximumAnswerBytes = std::size_t{64} * 1024;
};

struct QuarantineOptions
{
    std::chrono::milliseconds duration{std::chrono::minutes(10)};
};

struct Configuration
{
    EntryOptions entry;
    ClaimOptions claims;
    QuarantineOptions quarantine;
    std::map<std::string, ServiceOptions> services;

    const ServiceOptions *findService(const std::string &name) const;
};

// Checks every key, type and range. The error names the JSON pointer and the allowed values.
Result<Configuration> parseConfiguration(const nlohmann::json &document);

// The same check for a folder; the error names the file as well.
Result<Configuration> parseConfiguration(const MergedFolder &folder);

// Canonical text of a configuration document: no white space, members sorted by key. It and the digest recurse, so a
// document from the network is parsed by parseConfiguration first.
std::string canonicalText(const nlohmann::json &document);

// Digest of the canonical text of a configuration document, as 16 hexadecimal digits.
std::string configurationDigest(const nlohmann::json &document);

} // namespace Galenawell
