#include "OpenConnections.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace Harness {

/// A question to the kernel about TCP sockets (sock_diag(7)).
struct OpenConnections::Question {
    Question(std::uint16_t remote_port, std::optional<std::uint16_t> local_port)
    {
        constexpr std::uint32_t all_states = 0xFFF;
        this->header.nlmsg_len = sizeof(*this);
        this->header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
        this->header.nlmsg_flags = NLM_F_REQUEST;
        this->request.sdiag_family = AF_INET;
        this->request.sdiag_protocol = IPPROTO_TCP;
        this->request.idiag_states = all_states & ~(1U << TCP_TIME_WAIT);
        this->request.id.idiag_dport = htons(remote_port);
        this->request.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
        this->request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
        if (!local_port) {
            this->header.nlmsg_flags |= NLM_F_DUMP;
            return;
        }
        this->request.id.idiag_sport = htons(*local_port);
        this->request.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
        this->request.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    }

    [[nodiscard]] bool is_about_all() const { return (this->header.nlmsg_flags & NLM_F_DUMP) == NLM_F_DUMP; }

    nlmsghdr header {};
    inet_diag_req_v2 request {};
};

OpenConnections::OpenConnections(std::uint16_t remote_port)
{
    if (!this->ask_kernel({ remote_port, {} }))
        this->read_table(remote_port);
}

OpenConnections::OpenConnections(std::uint16_t remote_port, std::uint16_t local_port)
{
    if (!this->ask_kernel({ remote_port, local_port }))
        this->read_table(remote_port);
}

bool OpenConnections::ask_kernel(Question const& question)
{
    constexpr std::size_t buffer_bytes = 32 * 1024;
    auto const socket = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (socket < 0)
        return false;
    bool is_answered = false;
    bool is_complete = ::send(socket, &question, sizeof(question), 0) != static_cast<ssize_t>(sizeof(question));
    alignas(nlmsghdr) std::array<char, buffer_bytes> buffer {};
    while (!is_complete) {
        auto const received = ::recv(socket, buffer.data(), buffer.size(), 0);
        is_complete = received <= 0 || !question.is_about_all();
        auto left = static_cast<unsigned>(std::max<ssize_t>(received, 0));
        auto const* message = reinterpret_cast<nlmsghdr const*>(buffer.data());
        for (; NLMSG_OK(message, left); message = NLMSG_NEXT(message, left)) {
            if (message->nlmsg_type == NLMSG_DONE) {
                is_answered = true;
                is_complete = true;
            } else if (message->nlmsg_type == NLMSG_ERROR) {
                // NOTE: A connection that has ended meanwhile is an answer as well.
                is_answered = static_cast<nlmsgerr const*>(NLMSG_DATA(message))->error == -ENOENT;
                is_complete = true;
            } else {
                auto const* found = static_cast<inet_diag_msg const*>(NLMSG_DATA(message));
                is_answered = is_answered || !question.is_about_all();
                this->inodes.emplace(ntohs(found->id.idiag_sport), std::to_string(found->idiag_inode));
            }
        }
    }
    ::close(socket);
    return is_answered;
}

void OpenConnections::read_table(std::uint16_t remote_port)
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
