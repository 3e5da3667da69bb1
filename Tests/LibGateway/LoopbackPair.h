#pragma once

#include <LibGateway/Asio.h>

/// Two connected sockets on loopback, on a port that the kernel chose.
struct LoopbackPair {
    explicit LoopbackPair(Gateway::asio::io_context& context)
        : near(context)
        , far(context)
    {
        using Gateway::tcp;
        tcp::acceptor acceptor(context, tcp::endpoint(Gateway::asio::ip::address_v4::loopback(), 0));
        this->far.connect(acceptor.local_endpoint());
        this->near = acceptor.accept();
    }

    /// The side of the code under test.
    Gateway::tcp::socket near;
    /// The peer's side.
    Gateway::tcp::socket far;
};

/// Runs what is ready until `is_true` holds; false if it never does within a generous bound.
template <typename Condition> bool run_until(Gateway::asio::io_context& context, Condition is_true)
{
    auto const gives_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!is_true()) {
        if (std::chrono::steady_clock::now() > gives_up_at)
            return false;
        context.restart();
        context.run_for(std::chrono::milliseconds(1));
    }
    return true;
}
