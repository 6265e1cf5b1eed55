// Members of one log with a thread and a data folder each. Messages are passed in memory, so that a measurement covers
// the log and its syncs without a network.
#pragma once

#include "galenawell/consensus/logstorage.h"
#include "galenawell/consensus/raftnode.h"

#include <condition_variable>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Galenawell::Bench {

class ThreadedCluster
{
public:
    // Creates a log with this many voters in subfolders of the folder.
    ThreadedCluster(const std::filesystem::path &folder, std::size_t voters);
    ~ThreadedCluster();
    ThreadedCluster(const ThreadedCluster &) = delete;
    ThreadedCluster &operator=(const ThreadedCluster &) = delete;

    // Commits `count` commands with at most `outstanding` in flight, and returns the latency of each.
    std::vector<Duration> commit(std::size_t count, std::size_t outstanding, const std::string &payload);

private:
    struct MemberThread;

    struct Workload
    {
        std::size_t remaining = 0;
        std::size_t outstanding = 0;
        std::string payload;
        // By index, since the leader doesn't change during the workload.
        std::map<LogIndex, TimePoint> proposedAt;
        std::vector<Duration> latencies;
    };

    void runMember(MemberThread &member);
    void deliver(const RaftMessage &message);
    void proposeCommands(MemberThread &member);
    void recordCommits(const std::vector<LogEntry> &committed);

    std::map<MemberId, std::unique_ptr<MemberThread>> members;
    std::mutex mutex;
    std::condition_variable workloadFinished;
    bool stopping = false;
    Workload workload;
};

} // namespace Galenawell::Bench
