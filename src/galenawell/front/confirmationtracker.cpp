#include "galenawell/front/confirmationtracker.h"

#include <algorithm>

namespace Galenawell {

ConfirmationTracker::ConfirmationTracker(ConfirmationOptions trackerOptions)
    : options(std::move(trackerOptions))
{
}

void ConfirmationTracker::updateHeldRevision(std::uint64_t revision)
{
    if (revision <= this->heldRevision) {
        return;
    }
    this->heldRevision = revision;
    this->controlConfirmedAt.reset();
}

void ConfirmationTracker::recordControlConfirmation(std::uint64_t revision, TimePoint requestedAt)
{
    if (revision != this->heldRevision || this->heldRevision == 0) {
        return;
    }
    this->controlConfirmedAt = std::max(requestedAt, this->controlConfirmedAt.value_or(requestedAt));
    this->everConfirmed = true;
}

void ConfirmationTracker::recordFrontRevision(const InstanceName &front, std::uint64_t revision, TimePoint requestedAt)
{
    if (front == this->options.self) {
        return;
    }
    RevisionReport &report = this->fronts[front];
    if (requestedAt >= report.requestedAt) {
        report = RevisionReport{.revision = revision, .requestedAt = requestedAt};
    }
}

bool ConfirmationTracker::confirmedByFronts(TimePoint now) const
{
    std::size_t holders = this->everConfirmed ? 1 : 0;
    for (const auto &[name, report] : this->fronts) {
        if (now - report.requestedAt > this->options.limit || report.revision == 0) {
            continue;
        }
        if (report.revision > this->heldRevision) {
            return false;
        }
        ++holders;
    }
    return holders > this->options.configuredFronts / 2;
}

bool ConfirmationTracker::confirmed(TimePoint now)
{
    if (this->heldRevision == 0) {
        return false;
    }
    const bool byControl = this->controlConfirmedAt && now - *this->controlConfirmedAt <= this->options.limit;
    if (byControl) {
        return true;
    }
    if (this->confirmedByFronts(now)) {
        this->everConfirmed = true;
        return true;
    }
    return false;
}

std::uint64_t ConfirmationTracker::reportedRevision() const
{
    return this->everConfirmed ? this->heldRevision : 0;
}

std::optional<InstanceName> ConfirmationTracker::frontWithNewerView(TimePoint now) const
{
    std::optional<InstanceName> result;
    std::uint64_t newest = this->heldRevision;
    for (const auto &[name, report] : this->fronts) {
        if (now - report.requestedAt <= this->options.limit && report.revision > newest) {
            newest = report.revision;
            result = name;
        }
    }
    return result;
}

} // namespace Galenawell
