#include "SocketOwner.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <string>

namespace Harness {

namespace {

/// The inode of the connection's socket; empty if there is none.
std::string inode_of(std::uint16_t local_port, std::uint16_t remote_port)
{
    constexpr std::string_view loopback = "0100007F";
    auto const pair = fmt::format(" {0}:{1:04X} {0}:{2:04X} ", loopback, local_port, remote_port);
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        auto const found = line.find(pair);
        if (found == std::string::npos)
            continue;
        constexpr int words_before_inode = 6;
        std::istringstream words(line.substr(found + pair.size()));
        std::string word;
        for (int skipped = 0; skipped <= words_before_inode; ++skipped)
            words >> word;
        return word;
    }
    return {};
}

}

bool owns_connection(pid_t process, std::uint16_t local_port, std::uint16_t remote_port)
{
    auto const inode = inode_of(local_port, remote_port);
    if (inode.empty())
        return false;
    auto const wanted = "socket:[" + inode + "]";
    std::error_code error;
    for (auto const& entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", process), error)) {
        if (std::filesystem::read_symlink(entry.path(), error).string() == wanted)
            return true;
    }
    return false;
}

}
