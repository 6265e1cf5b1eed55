// Performs the actions of one ClaimedExecution: claims the request at the control leader, sends it to one replica of a pool
// service at a time, and records the outcome.
#pragma once

#include "galenawell/claims/claimedexecution.h"
#include "galenawell/front/admissiongate.h"
#include "galenawell/front/controlclient.h"
#include "galenawell/front/frontstate.h"
#include "galenawell/front/scatterrun.h"
#include "galenawell/transport/backendclient.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace Galenawell {

struct ClaimedRunOptions
{
    ClaimedExecutionOptions execution;
    Priority priority = Priority::Standard;
    std::string caller;
    nlohmann::json body;
    std::uint64_t seed = 0;
};

class ClaimedRun : public std::enable_shared_from_this<ClaimedRun>
{
public:
    ClaimedRun(ClaimedRunOptions options,
               FrontState &state,
               BackendClient &client,
               ControlClient &control,
               std::shared_ptr<AdmissionGate> gate,
               Metrics &metrics,
               EvidenceSharer shareEvidence);

    Asio::awaitable<ClaimedReport> run();

private:
    struct SendResult
    {
        SendOutcome outcome = SendOutcome::NoCapacity;
        std::string answer;
        RetryReason reason = RetryReason::Overloaded;
    };

    Asio::awaitable<ClaimedActions> perform(const ClaimedActions &actions);
    Asio::awaitable<void> finishRecording(ClaimedActions actions);
    Asio::awaitable<ClaimedActions> claim(const Claim &claim);
    Asio::awaitable<ClaimedActions> record(const ClaimedActions::Record &record);
    Asio::awaitable<SendResult> send();
    Asio::awaitable<SendResult> sendTo(const Replica &replica);

    ClaimedRunOptions options;
    FrontState &state;
    BackendClient &client;
    ControlClient &control;
    std::shared_ptr<AdmissionGate> gate;
    Metrics &metrics;
    EvidenceSharer shareEvidence;
    ClaimedExecution execution;
    RandomSource random;
    std::vector<std::string> triedAddresses;
};

} // namespace Galenawell
