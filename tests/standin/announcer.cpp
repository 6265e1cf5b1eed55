// Announcements of a replica to the fronts.
#include "replica.h"

#include "galenawell/core/clock.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace Galenawell::StandIn {

namespace {

using Clock = MonotonicClock;

constexpr std::chrono::seconds announceInterval{1};
// A front that takes longer than this counts as failed.
constexpr std::chrono::seconds announceTimeout{1};
// Pause before the next front is tried; limits the rate while all fronts refuse.
constexpr std::chrono::milliseconds nextFrontPause{100};

Tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    return {Asio::ip::make_address(address.substr(0, colon)), port};
}

} // namespace

Asio::awaitable<void> Replica::announceRepeatedly()
{
    std::size_t front = this->self.ordinal;
    while (!this->fronts.empty()) {
        bool failed = false;
        if (this->announcing && !this->frozen && !this->down) {
            failed = !co_await this->announceTo(this->fronts[front % this->fronts.size()]);
        }
        if (failed) {
            ++this->statistics.announcementFailures;
            ++front;
            this->announceStream.close();
        }
        this->announceTimer.expires_after(failed ? Clock::duration(nextFrontPause) : Clock::duration(announceInterval));
        co_await this->announceTimer.async_wait(useTuple);
    }
}

Asio::awaitable<bool> Replica::announceTo(const std::string &front)
{
    this->announceStream.expires_after(announceTimeout);
    if (!this->announceStream.socket().is_open()) {
        const auto [connectError] = co_await this->announceStream.async_connect(parseEndpoint(front), useTuple);
        if (connectError) {
            co_return false;
        }
    }
    HttpRequest request(Http::verb::post, "/v1/announce", 11);
    request.set(Http::field::host, front);
    request.set(Http::field::content_type, "application/json");
    request.body() = this->announcement().dump();
    request.prepare_payload();
    const auto [writeError, bytesWritten] = co_await Http::async_write(this->announceStream, request, useTuple);
    if (writeError) {
        co_return false;
    }
    boost::beast::flat_buffer buffer;
    HttpResponse response;
    const auto [readError, bytesRead] = co_await Http::async_read(this->announceStream, buffer, response, useTuple);
    if (readError || Http::to_status_class(response.result()) != Http::status_class::successful) {
        co_return false;
    }
    if (!response.keep_alive()) {
        this->announceStream.close();
    }
    ++this->statistics.announcements;
    co_return true;
}

void Replica::announceNow()
{
    this->announceTimer.cancel();
}

Json Replica::announcement()
{
    ++this->sequence;
    return {
        {"service", this->service.name},
        {"group", this->self.group},
        {"address", this->endpoint.address().to_string() + ":" + std::to_string(this->self.port)},
        {"dataCentre", this->self.dataCentre},
        {"incarnation", this->incarnation},
        {"sequence", this->sequence},
        {"state", this->stateName()},
        {"epoch", this->epoch},
        {"rangeBegin", this->range.begin},
        {"rangeEnd", this->range.end},
        {"versions", this->versions},
        {"slots", this->service.slots},
        {"connections", this->service.connections},
        {"load", this->load()},
    };
}

} // namespace Galenawell::StandIn
