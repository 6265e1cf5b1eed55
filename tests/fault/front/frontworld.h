// Several fronts with a ConfirmationTracker each and a control log, with delays, cuts, restarts and frozen fronts.
#pragma once

#include "galenawell/front/confirmationtracker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Galenawell::Testing {

inline constexpr std::chrono::milliseconds worldTick{100};
inline constexpr std::chrono::milliseconds confirmationLimit{3000};

class FrontWorld
{
public:
    // With `holdsAtOnce`, a front counts as a holder as soon as it has any view: the fault that the check has to find.
    FrontWorld(std::size_t frontCount, bool holdsAtOnce)
        : fronts(frontCount)
        , brokenHolder(holdsAtOnce)
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
        front.held = 0;
        ++front.life;
    }

    // Heartbeats, polls and fetches of all fronts, then the messages that are due; checks the property at each step.
    void tick()
    {
        this->now += worldTick;
        for (std::size_t index = 0; index < this->fronts.size(); ++index) {
            if (!this->fronts[index].frozen) {
                this->askAll(index);
            }
        }
        this->deliver();
        for (std::size_t index = 0; index < this->fronts.size(); ++index) {
            this->check(index);
        }
    }

    void run(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += worldTick) {
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
        std::uint64_t held = 0;
        std::uint64_t life = 0;
        bool frozen = false;
        // Neither side of a cut front's messages gets through, but for those already under way.
        bool cut = false;
        bool cutFromControl = false;
    };

    std::vector<Front> fronts;
    std::uint64_t committed = 1;
    bool controlUp = true;
    // Time of one direction; taken anew for each message.
    std::function<std::chrono::milliseconds()> delay = [] { return std::chrono::milliseconds(0); };
    TimePoint now{std::chrono::hours(1)};
    std::string violation;

private:
    struct Message
    {
        std::size_t to = 0;
        std::uint64_t life = 0;
        std::function<void()> handle;
    };

    void send(std::size_t to, std::function<void()> handle)
    {
        this->messages.emplace(this->now + this->delay(), Message{to, this->fronts[to].life, std::move(handle)});
    }

    void askAll(std::size_t asker)
    {
        const Front &front = this->fronts[asker];
        const std::optional<InstanceName> newer = front.tracker->frontWithNewerView(this->now);
        for (std::size_t peer = 0; peer < this->fronts.size(); ++peer) {
            if (peer != asker && !front.cut && !this->fronts[peer].cut) {
                this->askFront(asker, peer, newer == std::to_string(peer));
            }
        }
        if (this->controlUp && !front.cut && !front.cutFromControl) {
            const TimePoint requestedAt = this->now;
            const std::uint64_t newest = this->committed;
            this->send(asker, [this, asker, newest, requestedAt] {
                this->hold(asker, newest);
                this->fronts[asker].tracker->confirmedByControl(newest, requestedAt);
            });
        }
    }

    void askFront(std::size_t asker, std::size_t peer, bool fetch)
    {
        const TimePoint requestedAt = this->now;
        const std::uint64_t life = this->fronts[asker].life;
        this->send(peer, [this, asker, peer, fetch, requestedAt, life] {
            const std::uint64_t stated = this->fronts[peer].tracker->statedRevision();
            const std::uint64_t held = fetch ? this->fronts[peer].held : 0;
            if (this->fronts[asker].life != life) {
                return;
            }
            this->send(asker, [this, asker, peer, stated, held, requestedAt] {
                this->fronts[asker].tracker->heardFromFront(std::to_string(peer), stated, requestedAt);
                this->hold(asker, held);
            });
        });
    }

    void hold(std::size_t index, std::uint64_t revision)
    {
        Front &front = this->fronts[index];
        if (revision <= front.held) {
            return;
        }
        front.held = revision;
        front.tracker->holdView(revision);
        if (this->brokenHolder) {
            front.tracker->confirmedByControl(revision, TimePoint{});
        }
        std::size_t holders = 0;
        for (const Front &each : this->fronts) {
            holders += each.held >= revision ? 1 : 0;
        }
        if (holders > this->fronts.size() / 2) {
            this->acceptedAt.emplace(revision, this->now);
        }
    }

    void deliver()
    {
        std::vector<Message> waiting;
        while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
            const Message message = std::move(this->messages.begin()->second);
            this->messages.erase(this->messages.begin());
            const Front &front = this->fronts[message.to];
            if (front.frozen) {
                waiting.push_back(message);
            } else if (front.life == message.life) {
                message.handle();
            }
        }
        for (Message &message : waiting) {
            this->messages.emplace(this->now + worldTick, std::move(message));
        }
    }

    void check(std::size_t index)
    {
        if (this->fronts[index].frozen || !this->confirmed(index)) {
            return;
        }
        for (const auto &[revision, at] : this->acceptedAt) {
            if (revision > this->fronts[index].held && this->now - at > confirmationLimit) {
                this->violation = "front " + std::to_string(index) + " serves revision " + std::to_string(this->fronts[index].held)
                    + " although " + std::to_string(revision) + " was accepted";
            }
        }
    }

    bool brokenHolder;
    std::multimap<TimePoint, Message> messages;
    std::map<std::uint64_t, TimePoint> acceptedAt;
};

} // namespace Galenawell::Testing
