#include "OpenConnections.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace Harness {

OpenConnections::OpenConnections(std::uint16_t remote_port)
{
    constexpr std::string_view loopback = "0100007F:";
    constexpr int hexadecimal = 16;
    auto const remote = fmt::format("{}{:04X}", loopback, remote_port);
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        if (line.find(remote) == std::string::npos)
            continue;
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string to;
        words >> number >> local >> to;
        if (to != remote || !local.starts_with(loopback))
            continue;
        constexpr int words_before_inode = 6;
        std::string inode;
        for (int read = 0; read <= words_before_inode; ++read)
            words >> inode;
        auto const local_port = std::stoul(local.substr(loopback.size()), nullptr, hexadecimal);
        this->inodes.emplace(static_cast<std::uint16_t>(local_port), inode);
    }
}

bool OpenConnections::is_held_by(pid_t process, std::uint16_t local_port) const
{
    auto const inode = this->inodes.find(local_port);
    if (inode == this->inodes.end())
        return false;
    auto const wanted = "socket:[" + inode->second + "]";
    std::error_code error;
    for (auto const& entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", process), error)) {
        if (std::filesystem::read_symlink(entry.path(), error).string() == wanted)
            return true;
    }
    return false;
}

}
