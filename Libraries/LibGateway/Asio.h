#pragma once

// NOTE: boost/asio/awaitable.hpp uses std::exchange without including <utility>.
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

/// The gateway: one event loop that accepts client requests and sends them to the endpoints that Routing chooses.
namespace Gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::flat_buffer;
using boost::system::error_code;
using tcp = asio::ip::tcp;
template <typename Result> using Task = asio::awaitable<Result>;

/// Completion token that returns the error of an operation as a value instead of throwing it.
inline constexpr auto as_value = asio::as_tuple(asio::use_awaitable);

/// Waits for `duration`. Returns false if the timer was cancelled.
inline Task<bool> sleep_for(Core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    auto const [error] = co_await timer.async_wait(as_value);
    co_return !error;
}

/// A timer whose wait another task can end early. Only one task may wait at a time.
class InterruptibleTimer {
public:
    explicit InterruptibleTimer(asio::io_context& context)
        : timer(context)
    {
    }

    [[nodiscard]] Task<void> wait(Core::Duration duration)
    {
        this->timer.expires_after(duration);
        // NOTE: The error is ignored: callers check their own condition after both an expired and an interrupted wait.
        co_await this->timer.async_wait(as_value);
    }
    void interrupt() { this->timer.cancel(); }

private:
    asio::steady_timer timer;
};

/// Converts an address for use with sockets. Returns nothing unless the host is a numeric IP address.
[[nodiscard]] std::optional<tcp::endpoint> to_tcp_endpoint(Routing::SocketAddress const& address);

/// Opens a listening acceptor. Returns nothing and sets `last_reason` on failure.
[[nodiscard]] std::optional<tcp::acceptor> listen_on(
    asio::io_context& context, Routing::SocketAddress const& address, Core::LastReason& last_reason);

/// Shuts down the sending side and drains what the client still sends, for at most 500 ms and 256 KB. Closing a socket
/// with unread bytes would reset the connection and lose the answer.
[[nodiscard]] Task<void> close_after_answer(std::shared_ptr<tcp::socket> socket);

}
