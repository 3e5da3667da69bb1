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

#include <LibCore/Time.h>

#include <memory>

/// What the HTTP servers of all programs share: the account of their connections' memory, and reading requests.
namespace Http {

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

/// Shuts down the sending side and drains what the client still sends, for at most 500 ms and 256 KB. Closing a socket
/// with unread bytes would reset the connection and lose the answer.
[[nodiscard]] Task<void> close_after_answer(std::shared_ptr<tcp::socket> socket);

}
