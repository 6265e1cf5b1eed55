#include "galenawell/admission/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace Galenawell {

namespace {

// With 32, the lowest median of many windows was so far below the usual one that the limit fell to its minimum without any
// queueing.
constexpr std::size_t windowRequests = 128;
// A median latency above this multiple of the minimum indicates queueing in the backend servers.
constexpr double toleratedLatencyRatio = 1.5;
constexpr double decreaseFactor = 0.85;
// A higher fraction of failed requests in a window indicates overload.
constexpr double toleratedFailureFraction = 0.1;
// Age at which the minimum latency is measured again.
constexpr std::chrono::seconds minimumLatencyLifetime{10};
constexpr double probeFactor = 0.5;
// If queueing causes a slowdown, the median latency must have fallen to the second fraction when the limit has fallen to the
// first.
constexpr double slowdownLimitRatio = 0.6;
constexpr double improvedLatencyRatio = 0.8;
// A new sample has the weight 1/8 in the moving average of the service time.
constexpr int smoothingDivisor = 8;
// Weight of the new value in a gradient step.
constexpr double gradientWeight = 0.2;
constexpr double minimumGradient = 0.5;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions initialOptions, TimePoint now)
    : options(initialOptions)
    , limit(static_cast<double>(initialOptions.initial))
    , minimumMeasuredAt(now)
    , windowStart(now)
{
    if (this->options.algorithm == LimitAlgorithm::AdditiveIncrease) {
        this->step = &ConcurrencyLimit::stepAdditively;
    } else if (this->options.algorithm == LimitAlgorithm::LatencyGradient) {
        this->step = &ConcurrencyLimit::stepByGradient;
    }
    this->setBounds(this->options.minimum, this->options.maximum);
}

void ConcurrencyLimit::record(const CompletedRequest &completed, TimePoint now)
{
    if (completed.succeeded) {
        this->updateServiceTime(completed.serviceTime);
        this->successes.push_back(completed.serviceTime);
    } else {
        ++this->failures;
    }
    this->maximumRunning = std::max(this->maximumRunning, completed.running);
    this->requestsWaited = this->requestsWaited || completed.requestsWaiting;
    if (this->windowComplete(now)) {
        this->closeWindow(now);
    }
}

void ConcurrencyLimit::updateServiceTime(std::chrono::microseconds serviceTime)
{
    if (this->smoothedServiceTime == std::chrono::microseconds::zero()) {
        this->smoothedServiceTime = serviceTime;
        return;
    }
    this->smoothedServiceTime += (serviceTime - this->smoothedServiceTime) / smoothingDivisor;
}

bool ConcurrencyLimit::windowComplete(TimePoint now) const
{
    const std::size_t ended = this->successes.size() + this->failures;
    // A window shorter than a request would measure the effect of the previous limit.
    return ended >= windowRequests && now - this->windowStart >= this->smoothedServiceTime;
}

void ConcurrencyLimit::closeWindow(TimePoint now)
{
    const double ended = static_cast<double>(this->successes.size() + this->failures);
    if (this->step == nullptr) {
        // A fixed limit ignores the window.
    } else if (static_cast<double>(this->failures) > ended * toleratedFailureFraction) {
        this->probe = Probe::Idle;
        this->decrease();
    } else {
        this->evaluateMedian(this->windowMedian(), now);
    }
    this->successes.clear();
    this->failures = 0;
    this->maximumRunning = 0;
    this->requestsWaited = false;
    this->windowStart = now;
}

std::chrono::microseconds ConcurrencyLimit::windowMedian()
{
    const auto middle = this->successes.begin() + static_cast<std::ptrdiff_t>(this->successes.size() / 2);
    std::nth_element(this->successes.begin(), middle, this->successes.end());
    return std::max(*middle, std::chrono::microseconds(1));
}

void ConcurrencyLimit::evaluateMedian(std::chrono::microseconds median, TimePoint now)
{
    if (this->probe != Probe::Idle) {
        this->advanceProbe(median, now);
        return;
    }
    const bool outdated = now - this->minimumMeasuredAt >= minimumLatencyLifetime;
    if (outdated && this->requestsWaited) {
        this->startProbe();
        return;
    }
    if (outdated || this->minimumLatency == std::chrono::microseconds::zero() || median < this->minimumLatency) {
        this->setMinimumLatency(median, now);
    }
    const double ratio = static_cast<double>(median.count()) / static_cast<double>(this->minimumLatency.count());
    if (ratio <= toleratedLatencyRatio) {
        this->slowdown.reset();
    } else if (this->acceptSlowerService(median, now)) {
        return;
    }
    (this->*this->step)(ratio);
}

bool ConcurrencyLimit::acceptSlowerService(std::chrono::microseconds median, TimePoint now)
{
    if (!this->slowdown) {
        this->slowdown = Slowdown{.limit = this->limit, .median = median};
        return false;
    }
    if (this->limit > this->slowdown->limit * slowdownLimitRatio) {
        return false;
    }
    const auto improved = static_cast<double>(this->slowdown->median.count()) * improvedLatencyRatio;
    if (static_cast<double>(median.count()) <= improved) {
        this->slowdown = Slowdown{.limit = this->limit, .median = median};
        return false;
    }
    this->setMinimumLatency(median, now);
    this->setLimit(this->slowdown->limit);
    this->slowdown.reset();
    return true;
}

void ConcurrencyLimit::setMinimumLatency(std::chrono::microseconds median, TimePoint now)
{
    this->minimumLatency = median;
    this->minimumMeasuredAt = now;
}

void ConcurrencyLimit::startProbe()
{
    this->limitBeforeProbe = this->limit;
    this->setLimit(this->limit * probeFactor);
    this->probe = Probe::Settling;
}

void ConcurrencyLimit::advanceProbe(std::chrono::microseconds median, TimePoint now)
{
    if (this->probe == Probe::Settling) {
        this->probe = Probe::Measuring;
        return;
    }
    this->setMinimumLatency(median, now);
    this->probe = Probe::Idle;
    this->setLimit(this->limitBeforeProbe);
}

void ConcurrencyLimit::stepAdditively(double latencyRatio)
{
    if (latencyRatio > toleratedLatencyRatio) {
        this->decrease();
    } else if (this->requestsWaited) {
        this->setLimit(this->limit + 1);
    }
}

void ConcurrencyLimit::decrease()
{
    if (static_cast<double>(this->maximumRunning) * 2 >= this->limit) {
        this->setLimit(this->limit * decreaseFactor);
    }
}

void ConcurrencyLimit::stepByGradient(double latencyRatio)
{
    const double gradient = std::clamp(toleratedLatencyRatio / latencyRatio, minimumGradient, 1.0);
    const double headroom = this->requestsWaited ? std::sqrt(this->limit) : 0;
    const double wanted = this->limit * gradient + headroom;
    this->setLimit(this->limit * (1 - gradientWeight) + wanted * gradientWeight);
}

void ConcurrencyLimit::setLimit(double wanted)
{
    this->limit = std::clamp(wanted, static_cast<double>(this->options.minimum), static_cast<double>(this->options.maximum));
}

std::size_t ConcurrencyLimit::current() const
{
    return static_cast<std::size_t>(this->limit);
}

std::chrono::microseconds ConcurrencyLimit::expectedServiceTime() const
{
    return this->smoothedServiceTime;
}

void ConcurrencyLimit::setBounds(std::size_t minimum, std::size_t maximum)
{
    this->options.minimum = std::max<std::size_t>(1, minimum);
    this->options.maximum = std::max(this->options.minimum, maximum);
    this->setLimit(this->limit);
}

} // namespace Galenawell
