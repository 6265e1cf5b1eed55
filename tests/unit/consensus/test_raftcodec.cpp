#include "galenawell/consensus/raftcodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace Galenawell;

namespace {

RaftMessage arbitraryMessage()
{
    RaftMessage message;
    message.kind = static_cast<RaftMessageKind>(*rc::gen::inRange(0, 8));
    message.from = *rc::gen::arbitrary<MemberId>();
    message.to = *rc::gen::arbitrary<MemberId>();
    message.term = *rc::gen::arbitrary<Term>();
    message.logIndex = *rc::gen::arbitrary<LogIndex>();
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        message.entries.push_back({.index = *rc::gen::arbitrary<LogIndex>(), .payload = *rc::gen::arbitrary<std::string>()});
    }
    message.granted = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        message.snapshot = RaftSnapshot{
            .index = *rc::gen::arbitrary<LogIndex>(),
            .membership = {{{.id = *rc::gen::arbitrary<MemberId>(), .instance = "a", .voter = true}}},
            .state = *rc::gen::arbitrary<std::string>(),
        };
    }
    message.snapshotOffset = *rc::gen::arbitrary<std::uint64_t>();
    return message;
}

} // namespace

// Guards against a field that is lost or changed by encoding and decoding.
Test(raftCodec, messages_survive_encoding)
{
    cr_assert(rc::check([] {
        const RaftMessage message = arbitraryMessage();
        const RaftMessage decoded = decodeRaftMessage(encodeRaftMessage(message)).value();
        RC_ASSERT(decoded == message);
    }));
}

// Guards against a malformed message that crashes the process or makes it read past the buffer.
Test(raftCodec, malformed_messages_are_rejected)
{
    cr_assert(rc::check([] {
        std::string bytes = encodeRaftMessage(arbitraryMessage());
        const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(decodeRaftMessage(std::string_view(bytes).substr(0, length)).has_error());
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        (void)decodeRaftMessage(bytes);
    }));
}
