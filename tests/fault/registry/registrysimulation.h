// Simulates three fronts and nine backend servers. The servers announce themselves and renew their leases; one drains, one
// dies, and one front is killed and restarted. Injects one fault at one step; the seed determines delays and details.
#pragma once

#include "fault/claims/faultmatrix.h"
#include "galenawell/registry/backendregistry.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

namespace Galenawell::Testing {

class RegistrySimulation : public FaultSimulation
{
public:
    enum class Step { Announce, Renew, Update, Expiry, Drain, OriginLoss };
    enum class Fault { Lost, Duplicate, Reorder, OriginKilled, OriginFrozen, ServerRestarted, MassExpiry };

    static constexpr std::array stepNames{"announce", "renew", "spread", "lapse", "drain", "origin loss"};
    static constexpr std::array
        faultNames{"lost update", "duplicate", "reorder", "origin killed", "origin frozen", "server restarted", "mass lapse"};

    // Safeguard that the simulation disables, to show that the invariants detect its absence.
    enum class Safeguard { None, Lease, Acknowledgement, SequenceOrder, OriginIncarnation, MassExpiry };

    static constexpr std::size_t frontCount = 3;
    static constexpr std::size_t serverCount = 9;
    static constexpr std::size_t drainedServer = 0;
    static constexpr std::size_t deadServer = 1;

    RegistrySimulation(std::uint64_t seed, Step faultStep, Fault faultKind, Safeguard disabledSafeguard)
        : FaultSimulation(seed, static_cast<std::size_t>(faultStep))
        , fault(faultKind)
        , disabled(disabledSafeguard)
    {
    }

    void run()
    {
        for (std::size_t front = 0; front < frontCount; ++front) {
            this->startFront(front);
            this->at(milliseconds(1 + front), [this, front] { this->heartbeat(front); });
        }
        for (std::size_t number = 0; number < serverCount; ++number) {
            Server &server = this->servers[number];
            server.record.key = {.service = "s", .group = "g", .address = std::to_string(number)};
            server.record.state = BackendState::Ready;
            server.front = number % frontCount;
            this->at(milliseconds(this->random.below(1000)), [this, number] { this->renew(number); });
        }
        this->at(milliseconds(5000), [this] { this->servers[drainedServer].record.state = BackendState::Draining; });
        this->at(milliseconds(8000), [this] { this->servers[deadServer].alive = false; });
        this->at(milliseconds(14000), [this] { this->killFront(2, 8000); });
        for (int tick = 0; tick < 200; ++tick) {
            this->at(milliseconds(tick * 200 + 50), [this] { this->checkFronts(); });
        }
        this->runUntil(milliseconds(40000));
        this->checkConvergence();
    }

private:
    struct Front : Process
    {
        std::unique_ptr<BackendRegistry> registry;
        Incarnation incarnation = 0;
        std::array<std::uint64_t, frontCount> acknowledged{};
    };

    struct Server
    {
        BackendRecord record;
        std::size_t front = 0;
        bool alive = true;
        bool announced = false;
        bool accepted = true;
        bool movedAfterLoss = false;
        TimePoint unreachableUntil{};
    };

    void startFront(std::size_t front)
    {
        Front &started = this->fronts[front];
        const Incarnation incarnation = started.incarnation + 1;
        started = Front{};
        started.incarnation = incarnation;
        RegistryOptions options{.self = std::to_string(front), .incarnation = started.incarnation, .changeLogCapacity = 2};
        options.lease = this->disabled == Safeguard::Lease ? std::chrono::hours(1) : options.lease;
        options.massExpiryMinimum = this->disabled == Safeguard::MassExpiry ? 1000 : options.massExpiryMinimum;
        options.incarnation = this->disabled == Safeguard::OriginIncarnation ? 1 : options.incarnation;
        started.incarnation = options.incarnation;
        started.registry = std::make_unique<BackendRegistry>(options);
    }

    void killFront(std::size_t front, std::size_t downtime)
    {
        this->fronts[front].alive = false;
        this->after(downtime, [this, front] { this->startFront(front); });
    }

    void sendMessage(Step at, std::size_t origin, std::size_t server, std::function<void()> deliver)
    {
        std::size_t delay = 1 + this->random.below(5);
        if (this->shouldInject(static_cast<std::size_t>(at))) {
            if (this->fault == Fault::Lost) {
                return;
            }
            if (this->fault == Fault::Duplicate) {
                this->after(delay + this->random.below(4000), deliver);
            }
            delay += this->fault == Fault::Reorder ? this->random.below(4000) : 0;
            this->inject(origin, server);
        }
        this->after(delay, std::move(deliver));
    }

    void inject(std::size_t origin, std::size_t server)
    {
        if (this->fault == Fault::OriginKilled) {
            this->killFront(origin, 500 + this->random.below(5000));
        }
        if (this->fault == Fault::OriginFrozen) {
            this->fronts[origin].frozenUntil = this->now + milliseconds(this->random.below(6000));
        }
        if (this->fault == Fault::ServerRestarted) {
            Server &restarted = this->servers[server];
            ++restarted.record.incarnation;
            restarted.record.sequence = 0;
        }
        if (this->fault == Fault::MassExpiry) {
            // Cuts the network between all servers and all fronts; the servers keep running.
            for (const Front &front : this->fronts) {
                this->visibleBeforeExpiry.push_back(front.registry->visible().size());
            }
            for (Server &unreachable : this->servers) {
                unreachable.unreachableUntil = this->now + milliseconds(4000 + this->random.below(500));
            }
        }
    }

    void renew(std::size_t number)
    {
        this->after(1000, [this, number] { this->renew(number); });
        Server &server = this->servers[number];
        if (!server.alive || server.unreachableUntil > this->now) {
            return;
        }
        Step kind = server.announced ? Step::Renew : Step::Announce;
        if (!server.accepted || !this->fronts[server.front].alive) {
            server.front = (server.front + 1) % frontCount;
            kind = Step::OriginLoss;
        }
        const bool announcesDrain = server.record.state == BackendState::Draining && kind == Step::Renew;
        server.announced = true;
        server.accepted = false;
        ++server.record.sequence;
        const std::size_t front = server.front;
        const BackendRecord record = server.record;
        this->sendMessage(announcesDrain ? Step::Drain : kind, front, number, [this, front, number, record] {
            this->runInProcess(this->fronts[front], [this, front, number, record] { this->announce(this->fronts[front], number, record); });
        });
    }

    void announce(Front &front, std::size_t number, BackendRecord record)
    {
        if (this->disabled == Safeguard::SequenceOrder) {
            record.sequence = ++this->forgedSequence;
        }
        if (front.registry->announce(record, this->now).has_value()) {
            this->servers[number].accepted = true;
        }
    }

    void heartbeat(std::size_t from)
    {
        this->after(250, [this, from] { this->heartbeat(from); });
        this->runInProcess(this->fronts[from], [this, from] {
            this->fronts[from].registry->expire(this->now);
            for (std::size_t to = 0; to < frontCount; ++to) {
                if (to != from) {
                    this->sendUpdate(this->fronts[from], from, to);
                }
            }
        });
    }

    void sendUpdate(Front &sender, std::size_t from, std::size_t to)
    {
        const RegistryUpdate update = sender.registry->updateSince(sender.acknowledged[to]);
        const bool hasRemoval = std::ranges::any_of(update.changes, &RegistryChange::removed);
        const std::size_t server = update.changes.empty() ? 3 : std::stoul(update.changes.back().record.key.address);
        const auto deliver = [this, from, to, update] {
            const Front &receiver = this->fronts[to];
            receiver.registry->applyUpdate(update, this->now);
            const std::uint64_t through = receiver.registry->appliedThrough(update.origin, update.originIncarnation);
            this->after(2, [this, from, to, update, through] {
                Front &origin = this->fronts[from];
                if (origin.incarnation == update.originIncarnation && this->disabled != Safeguard::Acknowledgement) {
                    origin.acknowledged[to] = through;
                }
            });
        };
        this->sendMessage(
            hasRemoval ? Step::Expiry : Step::Update, from, server, [this, to, deliver] { this->runInProcess(this->fronts[to], deliver); });
        // Without acknowledgements the sender assumes that all updates were applied.
        if (this->disabled == Safeguard::Acknowledgement) {
            sender.acknowledged[to] = update.through;
        }
    }

    const BackendRecord *findRecord(const std::vector<BackendRecord> &records, std::size_t number) const
    {
        const auto found = std::ranges::find(records, this->servers[number].record.key, &BackendRecord::key);
        return found == records.end() ? nullptr : &*found;
    }

    // Checks the fronts that are alive and weren't frozen within the last second.
    void checkFronts()
    {
        const auto isAfterSecond = [this](int second) { return this->now >= this->start + milliseconds(second * 1000); };
        for (const Front &front : this->fronts) {
            if (!front.alive || front.frozenUntil + milliseconds(1000) > this->now) {
                continue;
            }
            const std::vector<BackendRecord> visible = front.registry->visible();
            const BackendRecord *draining = this->findRecord(visible, drainedServer);
            const bool isStillReady = isAfterSecond(7) && draining != nullptr && draining->state == BackendState::Ready;
            // A server that can't reach any front refuses requests itself.
            this->recordIfViolated(isStillReady && this->servers[drainedServer].unreachableUntil + milliseconds(1500) < this->now,
                                   "drain unknown after 2 s");
            this->recordIfViolated(isAfterSecond(20) && !front.registry->suspect() && this->findRecord(visible, deadServer) != nullptr,
                                   "dead server kept");
            const std::size_t visibleBefore
                = this->visibleBeforeExpiry.empty() ? 0 : this->visibleBeforeExpiry[&front - this->fronts.data()];
            // Allows for the removal of the dead server.
            this->recordIfViolated(!isAfterSecond(14) && visible.size() + 1 < visibleBefore, "set lost by a mass lapse");
        }
    }

    void checkConvergence()
    {
        for (const Front &front : this->fronts) {
            const std::vector<BackendRecord> visible = front.registry->visible();
            this->recordIfViolated(visible.size() != serverCount - 1, "fronts don't agree on the servers");
            for (const BackendRecord &record : visible) {
                const Server &server = this->servers[std::stoul(record.key.address)];
                this->recordIfViolated(!record.sameContent(server.record), "fronts don't agree on a server");
            }
        }
    }

    Fault fault;
    Safeguard disabled;
    std::array<Front, frontCount> fronts;
    std::array<Server, serverCount> servers;
    std::uint64_t forgedSequence = 0;
    // Number of visible servers at each front when the mass expiry began.
    std::vector<std::size_t> visibleBeforeExpiry;
};

} // namespace Galenawell::Testing
