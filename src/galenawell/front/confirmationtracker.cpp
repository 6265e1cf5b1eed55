#include "galenawell/front/confirmationtracker.h"

#include <algorithm>

namespace Galenawell {

ConfirmationTracker::ConfirmationTracker(ConfirmationOptions trackerOptions)
    : options(std::move(trackerOptions))
{
}

void ConfirmationTracker::holdView(std::uint64_t revision)
{
    if (revision <= this->held) {
        return;
    }
    this->held = revision;
    this->controlConfirmed.reset();
}

void ConfirmationTracker::confirmedByControl(std::uint64_t revision, TimePoint requestedAt)
{
    if (revision != this->held || this->held == 0) {
        return;
    }
    this->controlConfirmed = std::max(requestedAt, this->controlConfirmed.value_or(requestedAt));
    this->holder = true;
}

void ConfirmationTracker::heardFromFront(const InstanceName &front, std::uint64_t revision, TimePoint requestedAt)
{
    if (front == this->options.self) {
        return;
    }
    Heard &heard = this->fronts[front];
    if (requestedAt >= heard.at) {
        heard = Heard{.revision = revision, .at = requestedAt};
    }
}

bool ConfirmationTracker::confirmedByFronts(TimePoint now) const
{
    std::size_t holders = this->holder ? 1 : 0;
    for (const auto &[name, heard] : this->fronts) {
        if (now - heard.at > this->options.limit || heard.revision == 0) {
            continue;
        }
        if (heard.revision > this->held) {
            return false;
        }
        ++holders;
    }
    return holders > this->options.configuredFronts / 2;
}

bool ConfirmationTracker::confirmed(TimePoint now)
{
    if (this->held == 0) {
        return false;
    }
    const bool byControl = this->controlConfirmed && now - *this->controlConfirmed <= this->options.limit;
    if (byControl) {
        return true;
    }
    if (this->confirmedByFronts(now)) {
        this->holder = true;
        return true;
    }
    return false;
}

std::uint64_t ConfirmationTracker::statedRevision() const
{
    return this->holder ? this->held : 0;
}

std::optional<InstanceName> ConfirmationTracker::frontWithNewerView(TimePoint now) const
{
    std::optional<InstanceName> result;
    std::uint64_t newest = this->held;
    for (const auto &[name, heard] : this->fronts) {
        if (now - heard.at <= this->options.limit && heard.revision > newest) {
            newest = heard.revision;
            result = name;
        }
    }
    return result;
}

} // namespace Galenawell
