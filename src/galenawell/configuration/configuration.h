// The configuration that operators set for the whole installation. Immutable once parsed.
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

// Limit of the canonical text, so that a ControlView fits into one frame between processes (4 MiB).
inline constexpr std::size_t maximumConfigurationBytes = std::size_t{1024} * 1024;

struct AdmissionOptions
{
    // Bounds of the adaptive concurrency limit of one front.
    std::size_t minimumConcurrency = 2;
    std::size_t maximumConcurrency = 256;
    // Maximum number of queued requests per priority.
    std::size_t queueLength = 512;
    // Percentage of request starts reserved for each priority when higher priorities saturate the front. Urgent has none.
    std::array<unsigned, priorityCount> floorPercent{0, 10, 5};
    // Percentage of the concurrency limit that each priority may use.
    std::array<unsigned, priorityCount> concurrencyPercent{100, 80, 50};
};

struct HedgeOptions
{
    bool enabled = true;
    // Hedged subrequests as a percentage of all subrequests.
    double budgetPercent = 5.0;
    double quantile = 0.95;
    std::chrono::milliseconds minimumDelay{5};
    // Replies needed before the latency quantile is used, and the delay until then: long, so that only subrequests that
    // are most likely lost are hedged.
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
    // How long a caller may cache the list of entry instances.
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

// Validates every key, type and range. The error names the JSON pointer and the allowed values.
Result<Configuration> parseConfiguration(const nlohmann::json &document);

// Validates a merged folder; the error also names the file.
Result<Configuration> parseConfiguration(const MergedFolder &folder);

// Canonical text of a configuration document: no white space, members sorted by key. Recursive, as is
// configurationDigest: validate a document from the network with parseConfiguration first.
std::string canonicalText(const nlohmann::json &document);

// Digest of the canonical text of a configuration document, as 16 hexadecimal digits.
std::string configurationDigest(const nlohmann::json &document);

} // namespace Galenawell
