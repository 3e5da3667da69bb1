#pragma once

#include "LoopbackPair.h"
#include <functional>

namespace Scripted {

/// A server on loopback whose answers a test writes, byte by byte if it wants to. Each connection is served by itself.
class ScriptedServer {
public:
    /// Answers one request to the target. False ends the connection.
    using Answerer = std::function<Gateway::Task<bool>(Gateway::tcp::socket& socket, std::string const& target)>;

    ScriptedServer(Gateway::asio::io_context& context, Answerer answer)
        : acceptor(context, Gateway::tcp::endpoint(Gateway::asio::ip::address_v4::loopback(), 0))
        , answer(std::move(answer))
    {
        Gateway::asio::co_spawn(
            context, [this] { return this->run(); }, Gateway::asio::detached);
    }

    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    Gateway::Task<void> run()
    {
        for (;;) {
            auto [error, socket] = co_await this->acceptor.async_accept(Gateway::as_value);
            if (error)
                co_return;
            Gateway::asio::co_spawn(
                this->acceptor.get_executor(), this->serve(std::move(socket)), Gateway::asio::detached);
        }
    }

    Gateway::Task<void> serve(Gateway::tcp::socket socket)
    {
        Gateway::flat_buffer buffer;
        for (;;) {
            Gateway::http::request<Gateway::http::string_body> request;
            auto const [error, read] = co_await Gateway::http::async_read(socket, buffer, request, Gateway::as_value);
            if (error)
                co_return;
            std::string const target(request.target());
            if (!co_await this->answer(socket, target))
                co_return;
        }
    }

    Gateway::tcp::acceptor acceptor;
    Answerer answer;
};

}
