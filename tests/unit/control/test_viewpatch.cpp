#include "galenawell/control/viewpatch.h"

#include "galenawell/core/randomsource.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

// Text like that of a configuration with many routes.
std::string configuration(std::size_t routes, std::size_t version)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    RandomSource random(7);
    for (std::size_t route = 0; route < routes; ++route) {
        text += "{\"name\":\"r-" + std::to_string(random.below(1'000'000'000)) + "\",\"host\":\"h" + std::to_string(random.below(1'000'000))
            + ".example\",\"timeout_ms\":1200},";
    }
    return text + "]}";
}

} // namespace

// Guards against views that differ between the processes.
Test(viewpatch, every_subscriber_gets_the_newest_view_whatever_it_has)
{
    ViewPatches patches;
    ViewBase current;
    ViewBase outdated;
    for (std::size_t version = 1; version <= 20; ++version) {
        const std::string view = configuration(100 + version, version);
        patches.setNewest(version, view);
        ViewBase nothing;
        for (ViewBase *base : {&current, &outdated, &nothing}) {
            const Result<std::string> patch = patches.patchFrom(base->revision());
            cr_assert(patch.has_value());
            const Result<std::string> applied = base->apply(patch.value());
            cr_assert(applied.has_value() && applied.value() == view);
        }
        current.install(version, view);
        if (version == 1) {
            outdated.install(version, view);
        }
    }
}

// Guards against sending each front the whole configuration for each change of it.
Test(viewpatch, a_small_change_makes_a_small_patch)
{
    ViewPatches patches;
    patches.setNewest(1, configuration(200, 1));
    patches.setNewest(2, configuration(200, 2));
    cr_assert_lt(patches.patchFrom(1).value().size() * 50, configuration(200, 2).size());
    cr_assert_lt(patches.patchFrom(0).value().size(), configuration(200, 2).size());
}

// Guards against a configuration that differs from the accepted one, and against a process that ends on damaged bytes.
Test(viewpatch, damaged_patches_and_other_bases_are_refused)
{
    const std::string base = configuration(50, 1);
    const std::string view = configuration(50, 2);
    ViewPatches patches;
    patches.setNewest(1, base);
    patches.setNewest(2, view);
    const std::string patch = patches.patchFrom(1).value();
    ViewBase subscriber;
    subscriber.install(1, base);
    for (std::size_t length = 0; length < patch.size(); ++length) {
        const std::string cut = patch.substr(0, length);
        cr_assert(!subscriber.apply(cut).has_value(), "%zu", length);
    }
    ViewBase other;
    other.install(3, view);
    cr_assert(!other.apply(patch).has_value());
    ViewBase differs;
    differs.install(1, configuration(50, 9));
    const Result<std::string> mismatched = differs.apply(patch);
    cr_assert(!mismatched.has_value() || mismatched.value() == view);
}

// Guards against a process that ends on damaged bytes, or installs them.
Test(viewpatch, a_patch_with_changed_bytes_is_refused_or_without_effect)
{
    const std::string base = configuration(50, 1);
    const std::string view = configuration(50, 2);
    ViewPatches patches;
    patches.setNewest(1, base);
    patches.setNewest(2, view);
    const std::string patch = patches.patchFrom(1).value();
    ViewBase subscriber;
    subscriber.install(1, base);
    for (std::uint64_t seed = 0; seed < 5000; ++seed) {
        RandomSource random(seed);
        std::string damaged = patch;
        for (std::size_t change = 1 + random.below(4); change > 0; --change) {
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        }
        const Result<std::string> applied = subscriber.apply(damaged);
        cr_assert(!applied.has_value() || applied.value() == view, "seed %zu", static_cast<std::size_t>(seed));
    }
}
