#include "galenawell/front/viewsources.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

const std::vector<ViewCandidate> candidates{{.control = "a", .dataCentre = "z1"},
                                            {.control = "b", .dataCentre = "z1"},
                                            {.control = "c", .dataCentre = "z2"}};

// At revision 1, with "a" as the source.
ViewSources sources()
{
    ViewSources result;
    cr_assert(result.choose(candidates));
    for (const ViewCandidate &candidate : candidates) {
        result.onReport(candidate.control, 1, start);
    }
    result.onInstalled(1);
    return result;
}

} // namespace

// Guards against views from every control process, and against a front that hears of a change from its source only.
Test(viewsources, one_sends_views_and_one_elsewhere_tells_of_them)
{
    ViewSources views = sources();
    cr_assert(views.wantsView("a", start) && !views.wantsView("b", start) && !views.wantsView("c", start));
    cr_assert(!views.notifyAbove("a") && !views.notifyAbove("b") && views.notifyAbove("c") == 1);
    views.onReport("c", 5, start);
    // Otherwise the witness would reply again at once, until the view is installed.
    cr_assert(views.notifyAbove("c") == 5);
    cr_assert(!views.choose(candidates));
}

// Guards against a front that asks every control process for every view while its source delivers.
Test(viewsources, a_source_in_time_is_the_only_one_asked)
{
    ViewSources views = sources();
    for (std::uint64_t revision = 2; revision < 100; ++revision) {
        const TimePoint now = start + revision * 60ms;
        views.onReport("c", revision, now);
        cr_assert(!views.nextRequest(now + 50ms));
        cr_assert(!views.wantsView("c", now + 50ms));
        views.onInstalled(revision);
        cr_assert(!views.behindFor(now + 50ms));
    }
}

// Guards against a time limit that starts again with each newer revision.
Test(viewsources, a_late_source_is_noticed_however_many_revisions_follow)
{
    ViewSources views = sources();
    std::optional<InstanceName> requested;
    TimePoint now = start;
    for (std::uint64_t revision = 2; !requested; ++revision) {
        now += 10ms;
        views.onReport("c", revision, now);
        requested = views.nextRequest(now);
        cr_assert(now <= start + 300ms);
    }
    cr_assert(requested == "c");
    cr_assert(views.wantsView("b", now) && views.wantsView("c", now));
}

// Guards against a front that is content with a source that follows at a distance.
Test(viewsources, progress_of_the_source_counts_only_for_the_revisions_it_covers)
{
    ViewSources views = sources();
    views.onReport("c", 2, start);
    views.onReport("c", 3, start + 200ms);
    views.onInstalled(2);
    cr_assert(!views.nextRequest(start + 400ms));
    cr_assert(views.nextRequest(start + 460ms) == "c");
}

// Guards against requests without pause, and against asking only a process that doesn't answer.
Test(viewsources, requests_alternate_at_a_limited_rate)
{
    ViewSources views = sources();
    views.onReport("b", 2, start);
    views.onReport("c", 2, start);
    const std::optional<InstanceName> first = views.nextRequest(start + 300ms);
    cr_assert(first && !views.nextRequest(start + 400ms));
    const std::optional<InstanceName> second = views.nextRequest(start + 600ms);
    cr_assert(second && *second != *first && *second != "a");
}

// Guards against asking a process that hasn't got the view either.
Test(viewsources, only_processes_with_a_newer_view_are_asked)
{
    ViewSources views = sources();
    views.onReport("c", 2, start);
    // The witness restarted and has read an old state.
    views.onReport("c", 1, start + 100ms);
    cr_assert(!views.nextRequest(start + 500ms));
    views.onReport("a", 2, start + 500ms);
    cr_assert(views.nextRequest(start + 500ms) == "a");
}
