// Simulates fronts with a ConfirmationTracker each and a control log, with message delays, network partitions, restarts and
// frozen fronts.
#pragma once

#include "galenawell/front/confirmationtracker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Galenawell::Testing {

inline constexpr std::chrono::milliseconds simulationTick{100};
inline constexpr std::chrono::milliseconds confirmationLimit{3000};

class FrontSimulation
{
public:
    // With `skipConfirmation`, a front counts towards the majority once it has any view: the fault that the check must detect.
    FrontSimulation(std::size_t frontCount, bool skipConfirmation)
        : fronts(frontCount)
        , skipsConfirmation(skipConfirmation)
    {
        for (std::size_t index = 0; index < frontCount; ++index) {
            this->restart(index);
        }
    }

    void commit()
    {
        this->committed += this->controlUp ? 1 : 0;
    }

    void restart(std::size_t index)
    {
        Front &front = this->fronts[index];
        front.tracker.emplace(
            ConfirmationOptions{.self = std::to_string(index), .configuredFronts = this->fronts.size(), .limit = confirmationLimit});
        front.heldRevision = 0;
        ++front.incarnation;
    }

    // Sends the heartbeats, polls and fetches of all fronts, delivers the messages that are due and checks the invariant.
    void tick()
    {
        this->now += simulationTick;
        for (std::size_t index = 0; index < this->fronts.size(); ++index) {
            if (!this->fronts[index].frozen) {
                this->sendRequests(index);
            }
        }
        this->deliver();
        for (std::size_t index = 0; index < this->fronts.size(); ++index) {
            this->check(index);
        }
    }

    void run(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += simulationTick) {
            this->tick();
        }
    }

    bool confirmed(std::size_t index)
    {
        return this->fronts[index].tracker->confirmed(this->now);
    }

    std::size_t confirmedCount()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < this->fronts.size(); ++index) {
            count += this->confirmed(index) ? 1 : 0;
        }
        return count;
    }

    struct Front
    {
        std::optional<ConfirmationTracker> tracker;
        std::uint64_t heldRevision = 0;
        std::uint64_t incarnation = 0;
        bool frozen = false;
        // Messages to and from a partitioned front are dropped, except those already in flight.
        bool partitioned = false;
        bool partitionedFromControl = false;
    };

    std::vector<Front> fronts;
    std::uint64_t committed = 1;
    bool controlUp = true;
    // One-way delay; evaluated for each message.
    std::function<std::chrono::milliseconds()> delay = [] { return std::chrono::milliseconds(0); };
    TimePoint now{std::chrono::hours(1)};
    std::string violation;

private:
    struct Message
    {
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        std::function<void()> handle;
    };

    void send(std::size_t to, std::function<void()> handle)
    {
        this->messages.emplace(this->now + this->delay(), Message{to, this->fronts[to].incarnation, std::move(handle)});
    }

    void sendRequests(std::size_t sender)
    {
        const Front &front = this->fronts[sender];
        const std::optional<InstanceName> newer = front.tracker->frontWithNewerView(this->now);
        for (std::size_t peer = 0; peer < this->fronts.size(); ++peer) {
            if (peer != sender && !front.partitioned && !this->fronts[peer].partitioned) {
                this->sendHeartbeat(sender, peer, newer == std::to_string(peer));
            }
        }
        if (this->controlUp && !front.partitioned && !front.partitionedFromControl) {
            const TimePoint requestedAt = this->now;
            const std::uint64_t newest = this->committed;
            this->send(sender, [this, sender, newest, requestedAt] {
                this->installView(sender, newest);
                this->fronts[sender].tracker->recordControlConfirmation(newest, requestedAt);
            });
        }
    }

    void sendHeartbeat(std::size_t sender, std::size_t peer, bool fetch)
    {
        const TimePoint requestedAt = this->now;
        const std::uint64_t incarnation = this->fronts[sender].incarnation;
        this->send(peer, [this, sender, peer, fetch, requestedAt, incarnation] {
            const std::uint64_t reportedByPeer = this->fronts[peer].tracker->reportedRevision();
            const std::uint64_t fetchedRevision = fetch ? this->fronts[peer].heldRevision : 0;
            if (this->fronts[sender].incarnation != incarnation) {
                return;
            }
            this->send(sender, [this, sender, peer, reportedByPeer, fetchedRevision, requestedAt] {
                this->fronts[sender].tracker->recordFrontRevision(std::to_string(peer), reportedByPeer, requestedAt);
                this->installView(sender, fetchedRevision);
            });
        });
    }

    void installView(std::size_t index, std::uint64_t revision)
    {
        Front &front = this->fronts[index];
        if (revision <= front.heldRevision) {
            return;
        }
        front.heldRevision = revision;
        front.tracker->updateHeldRevision(revision);
        if (this->skipsConfirmation) {
            front.tracker->recordControlConfirmation(revision, TimePoint{});
        }
        std::size_t holders = 0;
        for (const Front &each : this->fronts) {
            holders += each.heldRevision >= revision ? 1 : 0;
        }
        if (holders > this->fronts.size() / 2) {
            this->acceptedAt.emplace(revision, this->now);
        }
    }

    void deliver()
    {
        std::vector<Message> postponed;
        while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
            const Message message = std::move(this->messages.begin()->second);
            this->messages.erase(this->messages.begin());
            const Front &front = this->fronts[message.to];
            if (front.frozen) {
                postponed.push_back(message);
            } else if (front.incarnation == message.incarnation) {
                message.handle();
            }
        }
        for (Message &message : postponed) {
            this->messages.emplace(this->now + simulationTick, std::move(message));
        }
    }

    void check(std::size_t index)
    {
        if (this->fronts[index].frozen || !this->confirmed(index)) {
            return;
        }
        for (const auto &[revision, at] : this->acceptedAt) {
            if (revision > this->fronts[index].heldRevision && this->now - at > confirmationLimit) {
                this->violation = "front " + std::to_string(index) + " serves revision " + std::to_string(this->fronts[index].heldRevision)
                    + " although " + std::to_string(revision) + " was accepted";
            }
        }
    }

    bool skipsConfirmation;
    std::multimap<TimePoint, Message> messages;
    std::map<std::uint64_t, TimePoint> acceptedAt;
};

} // namespace Galenawell::Testing
