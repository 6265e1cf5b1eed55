// Compresses a control view for a subscriber that has an earlier one. Successive configurations differ in a few fields, so
// with the earlier view as the dictionary little more than the difference is sent.
#pragma once

#include "galenawell/core/error.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Galenawell {

// The base may be empty.
Result<std::string> makeViewPatch(std::string_view base, std::string_view view);
// MalformedFrame if the patch is damaged or was made with another base.
Result<std::string> applyViewPatch(std::string_view base, std::string_view patch);

// Encoded views of a control process by revision, and the patches between them. Many subscribers have the same view, so each
// patch is made once.
class ViewPatches
{
public:
    void setNewest(std::uint64_t newRevision, std::string encodedView);
    std::uint64_t newestRevision() const;
    const std::string &newest() const;
    // The patch from the subscriber's revision, or from nothing if that one isn't kept; its base is stated in the patch.
    Result<std::string> patchFrom(std::uint64_t knownRevision);

private:
    static constexpr std::size_t keptViews = 6;

    std::uint64_t revision = 0;
    // By revision, the newest included.
    std::map<std::uint64_t, std::string> views;
    // To the newest view, by base revision; 0 for none.
    std::map<std::uint64_t, std::string> patches;
};

// Applies patches to the views that a subscriber has installed.
class ViewBase
{
public:
    void install(std::uint64_t revision, std::string encodedView);
    std::uint64_t revision() const;
    // The encoded view. NumberOutOfOrder if the patch needs another base.
    Result<std::string> apply(std::string_view patch) const;

private:
    std::uint64_t baseRevision = 0;
    std::string encoded;
};

} // namespace Galenawell
