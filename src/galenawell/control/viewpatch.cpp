#include "galenawell/control/viewpatch.h"

#include "galenawell/core/thriftcodec.h"

#include <charconv>
#include <zstd.h>

namespace Galenawell {

namespace {

constexpr int compressionLevel = 3;
// Separates the base revision from the compressed bytes.
constexpr char separator = ':';

Error malformed(const std::string &detail)
{
    return makeError(ErrorKind::MalformedFrame, "a patch of the control view can't be applied: " + detail);
}

struct FreeCompressor
{
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
};

struct FreeDecompressor
{
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

} // namespace

Result<std::string> makeViewPatch(std::string_view base, std::string_view view)
{
    const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string patch(ZSTD_compressBound(view.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), patch.data(), patch.size(), view.data(), view.size());
    if (ZSTD_isError(size) != 0) {
        return malformed(ZSTD_getErrorName(size));
    }
    patch.resize(size);
    return patch;
}

Result<std::string> applyViewPatch(std::string_view base, std::string_view patch)
{
    const unsigned long long size = ZSTD_getFrameContentSize(patch.data(), patch.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maximumFrameBytes) {
        return malformed("its size is missing or too large");
    }
    const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string view(size, '\0');
    const std::size_t written = ZSTD_decompressDCtx(context.get(), view.data(), view.size(), patch.data(), patch.size());
    if (ZSTD_isError(written) != 0) {
        return malformed(ZSTD_getErrorName(written));
    }
    if (written != size) {
        return malformed("it is cut off");
    }
    return view;
}

void ViewPatches::setNewest(std::uint64_t newRevision, std::string encodedView)
{
    this->revision = newRevision;
    this->views[newRevision] = std::move(encodedView);
    this->patches.clear();
    while (this->views.size() > keptViews) {
        this->views.erase(this->views.begin());
    }
}

std::uint64_t ViewPatches::newestRevision() const
{
    return this->revision;
}

const std::string &ViewPatches::newest() const
{
    return this->views.at(this->revision);
}

Result<std::string> ViewPatches::patchFrom(std::uint64_t knownRevision)
{
    const auto base = this->views.find(knownRevision);
    const std::uint64_t baseRevision = base == this->views.end() ? 0 : knownRevision;
    if (const auto made = this->patches.find(baseRevision); made != this->patches.end()) {
        return made->second;
    }
    const std::string_view baseView = baseRevision == 0 ? std::string_view() : std::string_view(base->second);
    BOOST_OUTCOME_TRY(const std::string compressed, makeViewPatch(baseView, this->newest()));
    std::string patch = std::to_string(baseRevision) + separator + compressed;
    this->patches[baseRevision] = patch;
    return patch;
}

void ViewBase::install(std::uint64_t installedRevision, std::string encodedView)
{
    this->baseRevision = installedRevision;
    this->encoded = std::move(encodedView);
}

std::uint64_t ViewBase::revision() const
{
    return this->baseRevision;
}

Result<std::string> ViewBase::apply(std::string_view patch) const
{
    std::uint64_t base = 0;
    const auto [end, failure] = std::from_chars(patch.data(), patch.data() + patch.size(), base);
    if (failure != std::errc() || end == patch.data() + patch.size() || *end != separator) {
        return malformed("it doesn't state its base");
    }
    if (base != 0 && base != this->baseRevision) {
        return makeError(ErrorKind::NumberOutOfOrder, "a patch of the control view needs revision " + std::to_string(base));
    }
    const std::string_view compressed = patch.substr(static_cast<std::size_t>(end + 1 - patch.data()));
    return applyViewPatch(base == 0 ? std::string_view() : std::string_view(this->encoded), compressed);
}

} // namespace Galenawell
