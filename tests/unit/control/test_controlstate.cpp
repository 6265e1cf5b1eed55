#include "galenawell/control/controlstate.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using std::chrono::milliseconds;

namespace {

const WallTime issued{milliseconds(1'800'000'000'000)};
const ClaimOwner owner{.front = "f1", .incarnation = 7, .attempt = 9};

Claim claimOf(const RequestId &id)
{
    Claim claim;
    claim.id = id;
    claim.service = "builder";
    claim.contentDigest = std::string("\0\xff", 2);
    claim.owner = owner;
    claim.deadline = issued + milliseconds(1000);
    return claim;
}

PartitionMap mapOf(std::uint64_t epoch)
{
    return {.service = "desk", .epoch = epoch, .groups = {{"a", {"", "m"}}, {"b", {"m", ""}}}};
}

std::vector<ControlCommand> commands()
{
    return {ProposeConfiguration{{.number = 1, .digest = "d1", .content = "{}"}},
            RecordPartitionMap{mapOf(3)},
            AdvanceTime{.now = issued, .watermark = issued - std::chrono::hours(24)},
            ClaimRequest{claimOf("1800000000000-a")},
            ClaimRequest{claimOf("1800000000000-b")},
            RecordOutcome{.id = "1800000000000-a", .owner = owner, .state = ClaimState::Ran, .answer = "{\"x\":1}"}};
}

ControlState filledState()
{
    ControlState state;
    std::uint64_t index = 0;
    for (const ControlCommand &command : commands()) {
        state.apply(command, ++index);
    }
    return state;
}

bool mapRecorded(ControlState &state, const PartitionMap &map, std::uint64_t index)
{
    return std::get<MapRecorded>(state.apply(RecordPartitionMap{map}, index)).recorded;
}

} // namespace

// Guards against a command that is changed by encoding and decoding, and against damaged bytes that decode as a command.
Test(controlcommand, commands_round_trip_and_damaged_bytes_are_rejected)
{
    for (const ControlCommand &command : commands()) {
        const std::string bytes = encodeControlCommand(command);
        const Result<ControlCommand> decoded = decodeControlCommand(bytes);
        cr_assert(decoded.has_value());
        cr_assert_eq(encodeControlCommand(decoded.value()), bytes);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            const Result<ControlCommand> cut = decodeControlCommand(bytes.substr(0, length));
            cr_assert(cut.has_error());
            cr_assert(cut.error().kind == ErrorKind::MalformedFrame);
        }
        cr_assert(decodeControlCommand(bytes + '\0').has_error());
    }
    cr_assert(decodeControlCommand(std::string(5 * 1024 * 1024, '\0')).has_error());
    cr_assert(decodeControlCommand(encodeControlCommand(AdvanceTime{.now = WallTime(milliseconds(-1)), .watermark = {}})).has_error());
    RecordOutcome running{.id = "1800000000000-a", .owner = owner, .state = ClaimState::Running, .answer = {}};
    cr_assert(decodeControlCommand(encodeControlCommand(running)).has_error());
}

// Guards against replicas whose states differ after a restart from a snapshot.
Test(controlstate, a_restored_state_serialises_and_behaves_identically)
{
    ControlState state = filledState();
    const std::string bytes = state.serialise();
    Result<ControlState> restored = ControlState::restore(bytes);
    cr_assert(restored.has_value());
    cr_assert_eq(restored.value().serialise(), bytes);
    cr_assert(*restored.value().view() == *state.view());
    const AdvanceTime close{.now = issued + milliseconds(6001), .watermark = issued - std::chrono::hours(1)};
    cr_assert_eq(std::get<TimeAdvanced>(state.apply(close, 9)).closedClaims, 1U);
    cr_assert_eq(std::get<TimeAdvanced>(restored.value().apply(close, 9)).closedClaims, 1U);
    cr_assert_eq(restored.value().serialise(), state.serialise());
}

// Guards against a crash on a damaged snapshot or view, and against a state restored from a truncated snapshot.
Test(controlstate, damaged_bytes_are_rejected_or_decoded_without_a_crash)
{
    const std::string bytes = filledState().serialise();
    const std::string view = encodeControlView(*filledState().view());
    for (std::size_t position = 0; position < bytes.size(); ++position) {
        cr_assert(ControlState::restore(bytes.substr(0, position)).has_error());
        for (unsigned bit = 0; bit < 8; ++bit) {
            std::string damaged = bytes;
            damaged[position] = static_cast<char>(damaged[position] ^ (1U << bit));
            const Result<ControlState> restored = ControlState::restore(damaged);
            cr_assert(restored.has_value() or restored.error().kind == ErrorKind::MalformedFrame);
            if (position < view.size()) {
                damaged = view;
                damaged[position] = static_cast<char>(damaged[position] ^ (1U << bit));
                const Result<ControlView> decoded = decodeControlView(damaged);
                cr_assert(decoded.has_value() or decoded.error().kind == ErrorKind::MalformedFrame);
            }
        }
    }
    cr_assert(decodeControlView(view).value() == *filledState().view());
}

// Guards against a partition map with an older epoch or a gap, and against a view that changes without a new revision.
Test(controlstate, partition_maps_need_a_higher_epoch_and_two_epochs_are_retained)
{
    ControlState state;
    cr_assert(mapRecorded(state, mapOf(3), 1));
    const std::shared_ptr<const ControlView> first = state.view();
    cr_assert(not mapRecorded(state, mapOf(3), 2));
    cr_assert(not mapRecorded(state, mapOf(2), 3));
    PartitionMap mapWithGap = mapOf(4);
    mapWithGap.groups.pop_back();
    cr_assert(not mapRecorded(state, mapWithGap, 4));
    cr_assert(state.view() == first);
    cr_assert(mapRecorded(state, mapOf(5), 5));
    cr_assert(mapRecorded(state, mapOf(6), 6));
    cr_assert_eq(state.view()->revision, 6U);
    const std::vector<PartitionMap> &epochs = state.view()->partitionMaps.at("desk");
    cr_assert_eq(epochs.size(), 2U);
    cr_assert_eq(epochs.front().epoch, 6U);
    cr_assert_eq(epochs.back().epoch, 5U);
}
