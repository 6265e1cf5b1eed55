// A caller sends one request whose body has a transfer coding other than chunks. The body holds the text of another request.
#include "harness.h"

using namespace Harness;

namespace {

constexpr const char *archive = "archive-shelf";
constexpr const char *signing = "signing-room";

int run(Record &record)
{
    Installation installation(3, 1, record);
    installation.startAll();
    if (!installation.putManifest(makeManifest({.services = {archive, signing}, .kinds = {"safe", "unsafe"}}))
        || !installation.waitReady()) {
        return couldNotRun;
    }
    auto *archiveServer = new Server({.service = archive, .identity = "i-archive-1"}, record);
    auto *signingServer = new Server({.service = signing, .identity = "i-signing-1"}, record);
    const Announcer announcer(installation, {archiveServer, signingServer});
    pause(Milliseconds(800));
    if (call(callerRequest(installation.front(1), "/archive-shelf/a", "first")).status() != 200) {
        return couldNotRun;
    }
    std::vector<std::string> sentIds{"first"};
    for (const std::string coding : {"gzip", "identity", "chunked, gzip"}) {
        const std::string number = std::to_string(sentIds.size());
        const std::string body = "GET /signing-room/pay HTTP/1.1\r\nHost: callers.example\r\nAttempt-Id: inside-" + number
            + "\r\nTime-Remaining: 2000\r\n\r\n";
        Call request = callerRequest(installation.front(1), "/archive-shelf/store", "outside-" + number);
        sentIds.push_back("outside-" + number);
        request.method = "POST";
        std::string bytes;
        if (troubled()) {
            request.headers += "Transfer-Encoding: " + coding + "\r\n";
            bytes = encode(request) + body;
        } else {
            request.body = body;
            bytes = encode(request);
        }
        record.line("sent one request, outside-" + number + (troubled() ? ", Transfer-Encoding: " + coding : ", with a length"));
        const Socket socket = connectTo(installation.front(1), Milliseconds(3000));
        sendAll(socket, bytes);
        Reader reader(socket);
        for (Message answer = reader.read(); answer.complete; answer = reader.read()) {
            record.line("answered " + std::to_string(answer.status()) + " for " + answer.header("attempt-id"));
        }
    }
    std::size_t unasked = 0;
    for (const Server *server : {archiveServer, signingServer}) {
        for (const Run &one : server->runs()) {
            if (std::find(sentIds.begin(), sentIds.end(), one.id) == sentIds.end()) {
                ++unasked;
                record.line("UNASKED: " + server->identity() + " ran " + one.method + " " + one.target + " with the id " + one.id
                            + ", which no caller sent as a request");
            }
        }
    }
    record.line(std::to_string(sentIds.size()) + " requests were sent, " + std::to_string(unasked) + " others were run");
    return unasked > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    runCase(run, argumentCount, arguments);
}
