#pragma once

#include "ScriptedServer.h"
#include <LibGateway/StoreFollower.h>
#include <boost/beast/core/detail/base64.hpp>
#include <functional>
#include <limits>

/// A scripted store on loopback, and a follower that reads it.
namespace Scripted {

using namespace Gateway;

struct Answer {
    unsigned status { 200 };
    std::string body;
    /// Number of pieces in which the body is sent, and the pause before each piece.
    std::size_t pieces { 1 };
    Core::Duration pause { 0 };
    /// Number of pieces after which the store falls silent for good.
    std::size_t pieces_sent { std::numeric_limits<std::size_t>::max() };
    /// Additional headers; each ends with a line end.
    std::string headers {};
};

/// A store whose answers are scripted by the test: an answer for each target, or nothing to close the connection
/// without one.
class FakeStore {
public:
    using Script = std::function<std::optional<Answer>(std::string const& target)>;

    FakeStore(asio::io_context& context, Script script)
        : script(std::move(script))
        , server(
              context, [this](tcp::socket& socket, std::string const& target) { return this->answer(socket, target); })
    {
    }

    [[nodiscard]] Routing::SocketAddress address() const { return { "127.0.0.1", this->server.port() }; }
    std::vector<std::string> targets;

private:
    Task<bool> answer(tcp::socket& socket, std::string const& target)
    {
        this->targets.push_back(target);
        auto const answer = this->script(target);
        if (!answer)
            co_return false;
        co_return co_await send(socket, *answer);
    }

    /// False if the client has closed the connection.
    static Task<bool> send(tcp::socket& socket, Answer const& answer)
    {
        auto const head = "HTTP/1.1 " + std::to_string(answer.status)
            + " -\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n" + answer.headers + "\r\n";
        auto [error, written] = co_await asio::async_write(socket, asio::buffer(head), as_value);
        auto const piece_bytes = (answer.body.size() + answer.pieces - 1) / answer.pieces;
        for (std::size_t index = 0; index < answer.pieces && !error; ++index) {
            if (index >= answer.pieces_sent)
                co_await sleep_for(std::chrono::hours(1));
            co_await sleep_for(answer.pause);
            auto const piece = answer.body.substr(index * piece_bytes, piece_bytes);
            std::tie(error, written) = co_await asio::async_write(socket, asio::buffer(piece), as_value);
        }
        co_return !error;
    }

    Script script;
    ScriptedServer server;
};

inline std::string bytes_of(std::uint64_t number, int size)
{
    std::string bytes;
    for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
        bytes += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU);
    return bytes;
}

inline std::string record(std::string const& key, std::string const& value)
{
    return bytes_of(1 + key.size() + value.size(), 4) + bytes_of(key.size(), 1) + key + value;
}

inline std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

/// The store's answer to a read of the newest record of each key; `end` follows the log's last record.
inline std::string newest_answer(std::uint64_t end, int version)
{
    auto const text = configuration(version);
    std::string value(boost::beast::detail::base64::encoded_size(text.size()), '\0');
    value.resize(boost::beast::detail::base64::encode(value.data(), text.data(), text.size()));
    return R"({"items":[{"tls_key":"config","value":")" + value + R"("}],"truncated":false,"end":)"
        + std::to_string(end) + "}";
}

/// Version 2 as the newest version, in the seventh record of the log.
inline std::string const version_2 = newest_answer(7, 2);
inline std::string const nothing_newest = R"({"items":[],"truncated":false,"end":0})";

/// A follower of one topic that reads a scripted store. With `without_relay`, the follower starts to read at once.
struct Follower {
    Follower(
        Adapter::Topic topic, FakeStore::Script script, bool without_relay = true, StoreFollower::Pace pace = at_once)
        : state(this->context, Routing::RouterSettings {}, 1)
        , records(this->state, "box", "domain")
        , source("box", "domain", {})
        , store(this->context, std::move(script))
        , follower(this->state, this->records, this->source, this->store.address(), topic, { pace, pace })
    {
        if (without_relay)
            this->source.boxes_unavailable();
        asio::co_spawn(
            this->context, [this] { return this->follower.run(); }, asio::detached);
    }

    [[nodiscard]] std::uint64_t version() const
    {
        auto const current = this->state.router.configuration();
        return current ? current->version() : 0;
    }

    static constexpr StoreFollower::Pace at_once { std::chrono::milliseconds(0), std::chrono::milliseconds(1) };

    asio::io_context context;
    GatewayState state;
    ControlRecords records;
    Membership::ControlSource source;
    FakeStore store;
    StoreFollower follower;
};

inline bool begins_with(std::string const& target, std::string_view path)
{
    return target.starts_with(path);
}

}
