#pragma once

// NOTE: The library's awaitable uses std::exchange without including its header.
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <LibCore/LastReason.h>
#include <LibCore/Time.h>
#include <LibRouting/EndpointDirectory.h>

#include <memory>
#include <optional>

/// The platform front: one event loop that carries out what Routing decides.
namespace Gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::flat_buffer;
using boost::system::error_code;
using tcp = asio::ip::tcp;
template <typename Result> using Task = asio::awaitable<Result>;

/// Awaits an operation and gives its error as a value in place of throwing it.
inline constexpr auto as_value = asio::as_tuple(asio::use_awaitable);

/// Waits; true if the time passed, false if the timer was cancelled.
inline Task<bool> sleep_for(Core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    auto const [error] = co_await timer.async_wait(as_value);
    co_return !error;
}

/// A wait that can be ended early. One task waits at a time.
class InterruptibleTimer {
public:
    explicit InterruptibleTimer(asio::io_context& context)
        : timer(context)
    {
    }

    [[nodiscard]] Task<void> wait(Core::Duration duration)
    {
        this->timer.expires_after(duration);
        // NOTE: Passed or ended early, whoever waits looks at what is true now.
        co_await this->timer.async_wait(as_value);
    }
    void interrupt() { this->timer.cancel(); }

private:
    asio::steady_timer timer;
};

/// The address as the sockets take it; nothing if it is not a numeric one.
[[nodiscard]] std::optional<tcp::endpoint> to_tcp_endpoint(Routing::SocketAddress const& address);

/// Opens an acceptor that listens; nothing, with a reason, where that fails.
[[nodiscard]] std::optional<tcp::acceptor> listen_on(
    asio::io_context& context, Routing::SocketAddress const& address, Core::LastReason& last_reason);

/// Tells the client that nothing more comes and reads what it still sends for a short while, since closing with
/// unread bytes would reset the connection and lose the answer.
[[nodiscard]] Task<void> close_after_answer(std::shared_ptr<tcp::socket> socket);

}
