#include "galenawell/registry/backendregistry.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <tuple>

using namespace Galenawell;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t frontCount = 4;
constexpr std::size_t serverCount = 8;

struct Server
{
    BackendRecord record;
    std::size_t front = 0;
    bool alive = true;
};

// Several fronts and servers; the naive union is what the live servers last said of themselves.
class Fronts
{
public:
    Fronts()
    {
        for (std::size_t front = 0; front < frontCount; ++front) {
            this->restart(front);
        }
        for (std::size_t number = 0; number < serverCount; ++number) {
            this->servers[number].record.key = {.service = "s", .group = "g", .address = std::to_string(number)};
        }
    }

    void restart(std::size_t front)
    {
        ++this->incarnations[front];
        const RegistryOptions options{
            .self = std::to_string(front), .incarnation = this->incarnations[front], .changeLogCapacity = 3, .massLapseMinimum = 1000};
        this->registries[front] = std::make_unique<BackendRegistry>(options);
        this->acknowledged[front].fill(0);
    }

    void announce(std::size_t number, std::size_t front)
    {
        Server &server = this->servers[number];
        ++server.record.sequence;
        server.front = front;
        this->sent.push_back({front, server.record});
        RC_ASSERT(this->registries[front]->announce(server.record, this->now).has_value());
    }

    // A copy of an earlier announcement arrives late; an outdated one must be refused or change nothing in the end.
    void repeatAnnouncement(std::size_t choice)
    {
        if (!this->sent.empty()) {
            const auto &[front, record] = this->sent[choice % this->sent.size()];
            static_cast<void>(this->registries[front]->announce(record, this->now));
        }
    }

    void spread(std::size_t from, std::size_t to)
    {
        const RegistryUpdate update = this->registries[from]->updateSince(this->acknowledged[from][to]);
        this->updates.push_back(update);
        this->registries[to]->applyUpdate(update, this->now);
        this->acknowledged[from][to] = this->registries[to]->appliedThrough(std::to_string(from), this->incarnations[from]);
    }

    // An earlier update arrives again, out of order and perhaps from an earlier run of the origin.
    void repeatUpdate(std::size_t choice, std::size_t to)
    {
        if (!this->updates.empty()) {
            this->registries[to]->applyUpdate(this->updates[choice % this->updates.size()], this->now);
        }
    }

    // An update is sent and acknowledged by nobody.
    void loseUpdate(std::size_t from, std::size_t to)
    {
        this->updates.push_back(this->registries[from]->updateSince(this->acknowledged[from][to]));
    }

    void pass(milliseconds time)
    {
        this->now += time;
        for (auto &registry : this->registries) {
            registry->expire(this->now);
        }
    }

    void settle()
    {
        for (int second = 0; second < 8; ++second) {
            for (std::size_t number = 0; number < serverCount; ++number) {
                if (this->servers[number].alive) {
                    this->announce(number, this->servers[number].front);
                }
            }
            for (std::size_t from = 0; from < frontCount; ++from) {
                for (std::size_t to = 0; to < frontCount; ++to) {
                    this->spread(from, to);
                }
            }
            this->pass(milliseconds(1000));
        }
    }

    void check() const
    {
        for (const auto &registry : this->registries) {
            const std::vector<BackendRecord> visible = registry->visible();
            const auto isListed = [](const Server &server) { return server.alive && server.record.state != BackendState::Stopped; };
            RC_ASSERT(visible.size() == static_cast<std::size_t>(std::ranges::count_if(this->servers, isListed)));
            for (const BackendRecord &record : visible) {
                const Server &server = this->servers[std::stoul(record.key.address)];
                RC_ASSERT(isListed(server) and record.sameContent(server.record));
            }
        }
    }

    std::array<Server, serverCount> servers;

private:
    TimePoint now{std::chrono::hours(1)};
    std::array<Incarnation, frontCount> incarnations{};
    std::array<std::unique_ptr<BackendRegistry>, frontCount> registries;
    std::array<std::array<std::uint64_t, frontCount>, frontCount> acknowledged{};
    std::vector<std::pair<std::size_t, BackendRecord>> sent;
    std::vector<RegistryUpdate> updates;
};

void perform(Fronts &fronts, unsigned kind, std::size_t a, std::size_t b)
{
    Server &server = fronts.servers[a % serverCount];
    if (kind < 5) {
        server.record.state = kind < 4 ? static_cast<BackendState>(kind) : server.record.state;
        server.record.epoch += b / 128;
        server.alive = true;
        fronts.announce(a % serverCount, b % frontCount);
    } else if (kind == 5) {
        server.alive = false;
    } else if (kind == 6) {
        server.alive = true;
        ++server.record.incarnation;
        server.record.sequence = 0;
        fronts.announce(a % serverCount, b % frontCount);
    } else if (kind < 9) {
        fronts.spread(a % frontCount, b % frontCount);
    } else if (kind == 9) {
        fronts.loseUpdate(a % frontCount, b % frontCount);
    } else if (kind == 10) {
        fronts.repeatUpdate(a, b % frontCount);
    } else if (kind == 11) {
        fronts.repeatAnnouncement(a);
    } else if (kind == 12) {
        fronts.restart(a % frontCount);
    } else {
        fronts.pass(milliseconds(a * 10));
    }
}

} // namespace

// Guards against fronts that never agree again after losses, repetitions, reordering and restarts.
Test(registrymodel, all_fronts_converge_to_the_naive_union)
{
    using Operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
    cr_assert(rc::check([] {
        const auto operations = *rc::gen::resize(300, rc::gen::arbitrary<std::vector<Operation>>());
        Fronts fronts;
        for (const auto &[kind, a, b] : operations) {
            perform(fronts, kind % 15, a, b);
        }
        fronts.settle();
        fronts.check();
    }));
}
