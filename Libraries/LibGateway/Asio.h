#pragma once

#include <LibHttp/Asio.h>
#include <LibHttp/MessageFraming.h>

#include <LibCore/LastReason.h>
#include <LibRouting/EndpointDirectory.h>

#include <memory>
#include <optional>

/// The gateway: one event loop that accepts client requests and sends them to the endpoints that Routing chooses.
namespace Gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Http::as_value;
using Http::buffered_beyond_head;
using Http::close_after_answer;
using Http::error_code;
using Http::flat_buffer;
using Http::framing_fault;
using Http::is_buffer_full;
using Http::is_final_status;
using Http::is_interim_status;
using Http::sleep_for;
using Http::Task;
using Http::tcp;

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

}
