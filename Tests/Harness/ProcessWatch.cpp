#include "ProcessWatch.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>

namespace Harness {

namespace {

/// One row of the kernel's table of TCP sockets.
struct SocketRow {
    int local_port { 0 };
    std::string state;
    std::size_t unread_bytes { 0 };
    std::string inode;
};

std::vector<SocketRow> socket_table()
{
    constexpr int hexadecimal = 16;
    std::vector<SocketRow> rows;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string queues;
        std::string skipped;
        SocketRow row;
        words >> number >> local >> remote >> row.state >> queues >> skipped >> skipped >> skipped >> skipped
            >> row.inode;
        row.local_port = std::stoi(local.substr(local.find(':') + 1), nullptr, hexadecimal);
        row.unread_bytes = std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        rows.push_back(std::move(row));
    }
    return rows;
}

constexpr std::string_view listening = "0A";

std::size_t resident_bytes(pid_t process)
{
    std::ifstream status(fmt::format("/proc/{}/status", process));
    std::string word;
    while (status >> word) {
        std::size_t kilobytes = 0;
        if (word == "VmRSS:" && status >> kilobytes)
            return kilobytes * 1024;
    }
    return 0;
}

std::filesystem::path descriptor_folder(pid_t process)
{
    return fmt::format("/proc/{}/fd", process);
}

}

std::vector<int> listening_ports(pid_t process)
{
    std::set<std::string> inodes;
    std::error_code error;
    for (auto const& entry : std::filesystem::directory_iterator(descriptor_folder(process), error))
        inodes.insert(std::filesystem::read_symlink(entry.path(), error).string());
    std::set<int> ports;
    for (auto const& row : socket_table()) {
        if (row.state == listening && inodes.contains("socket:[" + row.inode + "]"))
            ports.insert(row.local_port);
    }
    return { ports.begin(), ports.end() };
}

void limit_sanitizer_memory()
{
    setenv("ASAN_OPTIONS",
        "quarantine_size_mb=1:thread_local_quarantine_size_kb=64:malloc_context_size=0:allocator_release_to_os_"
        "interval_ms=0",
        1);
}

ProcessWatch::ProcessWatch(pid_t process)
    : process(process)
    , ports(listening_ports(process))
    , first_memory(resident_bytes(process))
    , thread([this] {
        while (!this->is_stopped) {
            this->sample();
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    })
{
}

ProcessWatch::~ProcessWatch()
{
    this->is_stopped = true;
    this->thread.join();
}

std::size_t ProcessWatch::max_memory_bytes(std::size_t limit) const
{
#ifdef __SANITIZE_ADDRESS__
    return this->first_memory + limit;
#else
    return limit;
#endif
}

void ProcessWatch::sample()
{
    auto bytes = resident_bytes(this->process);
    for (auto const& row : socket_table()) {
        if (row.state != listening && std::ranges::binary_search(this->ports, row.local_port))
            bytes += row.unread_bytes;
    }
    this->peak_memory = std::max(this->peak_memory.load(), bytes);
    std::error_code error;
    std::size_t descriptors = 0;
    for ([[maybe_unused]] auto const& entry :
        std::filesystem::directory_iterator(descriptor_folder(this->process), error))
        ++descriptors;
    this->most_descriptors = std::max(this->most_descriptors.load(), descriptors);
}

}
