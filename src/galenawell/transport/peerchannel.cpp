#include "galenawell/core/thriftcodec.h"
#include "galenawell/transport/peerlink.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace Galenawell {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t nonceBytes = 16;
// 128 bits suffice against forgery during the lifetime of one connection.
constexpr std::size_t tagBytes = 16;
// Limits the memory that an unauthenticated peer can make this process allocate.
constexpr std::uint32_t maximumHandshakeBytes = 1024;

std::string hmac(std::string_view key, std::string_view message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(message.data()),
         message.size(),
         digest.data(),
         &length);
    return {reinterpret_cast<const char *>(digest.data()), length};
}

std::string makeNonce()
{
    std::string nonce(nonceBytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size()));
    return nonce;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

// HMAC input of the handshake: the purpose, both nonces and both instance names.
std::string transcript(std::string_view purpose, const Wire::Hello &client, const Wire::Hello &server)
{
    std::string text(purpose);
    for (const std::string *part : {&client.nonce, &server.nonce, &client.instance, &server.instance}) {
        text += '|';
        text += std::to_string(part->size());
        text += ':';
        text += *part;
    }
    return text;
}

Wire::Hello makeHello(const PeerIdentity &identity)
{
    Wire::Hello hello;
    hello.lowestVersion = lowestPeerVersion;
    hello.highestVersion = highestPeerVersion;
    hello.instance = identity.instance;
    hello.nonce = makeNonce();
    return hello;
}

Status checkHello(const Wire::Hello &hello, const PeerIdentity &identity)
{
    if (hello.highestVersion < lowestPeerVersion || hello.lowestVersion > highestPeerVersion) {
        return makeError(ErrorKind::VersionMismatch, "peer " + hello.instance + " supports no common protocol version");
    }
    if (!identity.acceptAny && !identity.accepted.contains(hello.instance)) {
        return makeError(ErrorKind::Unauthenticated, "peer " + hello.instance + " isn't an accepted instance");
    }
    return boost::outcome_v2::success();
}

Error ioError(const Beast::error_code &error)
{
    return makeError(ErrorKind::ConnectionLost, error.message());
}

} // namespace

PeerChannel::PeerChannel(Tcp::socket socket)
    : stream(std::move(socket))
{
    Beast::error_code ignored;
    this->stream.socket().set_option(Tcp::no_delay(true), ignored);
}

Beast::tcp_stream &PeerChannel::rawStream()
{
    return this->stream;
}

std::uint64_t PeerChannel::bytesSent() const
{
    return this->sentBytes;
}

void PeerChannel::close()
{
    this->stream.close();
}

std::string PeerChannel::computeTag(std::string_view payload, char direction, std::uint64_t counter) const
{
    std::string message(1, direction);
    message += std::to_string(counter);
    message += '|';
    message += payload;
    return hmac(this->sessionKey, message).substr(0, tagBytes);
}

Asio::awaitable<Status> PeerChannel::writeFrame(std::string_view payload)
{
    std::string frame(lengthBytes, '\0');
    std::string body;
    if (!this->sessionKey.empty()) {
        body = this->computeTag(payload, this->sendDirection, this->sentFrames++);
    }
    body += payload;
    if (body.size() > maximumFrameBytes) {
        co_return makeError(ErrorKind::FrameTooLarge, "a message of " + std::to_string(body.size()) + " bytes exceeds the frame limit");
    }
    const auto length = static_cast<std::uint32_t>(body.size());
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        frame[index] = static_cast<char>((length >> (8 * index)) & 0xffU);
    }
    frame += body;
    this->sentBytes += frame.size();
    auto [error, written] = co_await Asio::async_write(this->stream, Asio::buffer(frame), awaitResult);
    if (error) {
        co_return ioError(error);
    }
    co_return boost::outcome_v2::success();
}

Asio::awaitable<Result<std::string>> PeerChannel::readFrame()
{
    std::array<unsigned char, lengthBytes> header{};
    auto [headerError, headerRead] = co_await Asio::async_read(this->stream, Asio::buffer(header), awaitResult);
    if (headerError) {
        co_return ioError(headerError);
    }
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        length |= static_cast<std::uint32_t>(header.at(index)) << (8 * index);
    }
    const bool authenticated = !this->sessionKey.empty();
    if (length > (authenticated ? maximumFrameBytes : maximumHandshakeBytes)) {
        co_return makeError(ErrorKind::FrameTooLarge, "a frame of " + std::to_string(length) + " bytes exceeds the frame limit");
    }
    std::string body(length, '\0');
    auto [bodyError, bodyRead] = co_await Asio::async_read(this->stream, Asio::buffer(body), awaitResult);
    if (bodyError) {
        co_return ioError(bodyError);
    }
    if (!authenticated) {
        co_return body;
    }
    if (body.size() < tagBytes) {
        co_return makeError(ErrorKind::MalformedFrame, "a frame is shorter than its authentication tag");
    }
    const std::string_view payload = std::string_view(body).substr(tagBytes);
    const char receiveDirection = this->sendDirection == 'c' ? 's' : 'c';
    const std::string expected = this->computeTag(payload, receiveDirection, this->receivedFrames++);
    if (!equalInConstantTime(expected, std::string_view(body).substr(0, tagBytes))) {
        co_return makeError(ErrorKind::Unauthenticated, "the authentication tag of a frame doesn't match");
    }
    co_return std::string(payload);
}

Asio::awaitable<Result<InstanceName>> PeerChannel::connectAs(const PeerIdentity &identity)
{
    this->sendDirection = 'c';
    Wire::Hello own = makeHello(identity);
    const std::string helloFrame = encodeThrift(own);
    if (Status status = co_await this->writeFrame(helloFrame); !status) {
        co_return status.error();
    }
    Result<std::string> bytes = co_await this->readFrame();
    if (!bytes) {
        co_return bytes.error();
    }
    Result<Wire::Hello> hello = decodeThrift<Wire::Hello>(bytes.value());
    if (!hello) {
        co_return hello.error();
    }
    const Wire::Hello &server = hello.value();
    if (Status status = checkHello(server, identity); !status) {
        co_return status.error();
    }
    if (!equalInConstantTime(server.proof, hmac(identity.key, transcript("server", own, server)))) {
        co_return makeError(ErrorKind::Unauthenticated, "peer " + server.instance + " has another peer key");
    }
    own.__set_proof(hmac(identity.key, transcript("client", own, server)));
    const std::string frame = encodeThrift(own);
    if (Status status = co_await this->writeFrame(frame); !status) {
        co_return status.error();
    }
    this->sessionKey = hmac(identity.key, transcript("session", own, server));
    co_return server.instance;
}

Asio::awaitable<Result<InstanceName>> PeerChannel::acceptAs(const PeerIdentity &identity)
{
    this->sendDirection = 's';
    Result<std::string> first = co_await this->readFrame();
    if (!first) {
        co_return first.error();
    }
    Result<Wire::Hello> hello = decodeThrift<Wire::Hello>(first.value());
    if (!hello) {
        co_return hello.error();
    }
    const Wire::Hello &client = hello.value();
    if (Status status = checkHello(client, identity); !status) {
        co_return status.error();
    }
    Wire::Hello own = makeHello(identity);
    own.__set_proof(hmac(identity.key, transcript("server", client, own)));
    const std::string frame = encodeThrift(own);
    if (Status status = co_await this->writeFrame(frame); !status) {
        co_return status.error();
    }
    Result<std::string> second = co_await this->readFrame();
    if (!second) {
        co_return second.error();
    }
    Result<Wire::Hello> proof = decodeThrift<Wire::Hello>(second.value());
    if (!proof || !equalInConstantTime(proof.value().proof, hmac(identity.key, transcript("client", client, own)))) {
        co_return makeError(ErrorKind::Unauthenticated, "peer " + client.instance + " has another peer key");
    }
    this->sessionKey = hmac(identity.key, transcript("session", client, own));
    co_return client.instance;
}

Asio::awaitable<Status> PeerChannel::write(const Wire::Envelope &envelope)
{
    const std::string payload = encodeThrift(envelope);
    co_return co_await this->writeFrame(payload);
}

Asio::awaitable<Result<Wire::Envelope>> PeerChannel::read()
{
    Result<std::string> payload = co_await this->readFrame();
    if (!payload) {
        co_return payload.error();
    }
    co_return decodeThrift<Wire::Envelope>(payload.value());
}

} // namespace Galenawell
