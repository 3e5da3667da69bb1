#include <LibHttp/Asio.h>

#include <array>

namespace Http {

Task<void> close_after_answer(std::shared_ptr<tcp::socket> socket)
{
    // Longer than a round trip to clients. A client that is still sending by then is cut off.
    constexpr auto max_wait = std::chrono::milliseconds(500);
    error_code ignored;
    socket->shutdown(tcp::socket::shutdown_send, ignored);
    asio::steady_timer timer(socket->get_executor(), max_wait);
    timer.async_wait([socket](error_code cancelled) {
        error_code ignored;
        if (!cancelled)
            socket->close(ignored);
    });
    // What a connection holds at most on its way. A client that sends more doesn't wait for its answer.
    constexpr std::size_t max_discarded_bytes = 256 * 1024;
    std::array<char, 4096> discarded {};
    std::size_t discarded_bytes = 0;
    bool is_open = true;
    while (is_open && discarded_bytes < max_discarded_bytes) {
        auto const [error, bytes] = co_await socket->async_read_some(asio::buffer(discarded), as_value);
        discarded_bytes += bytes;
        is_open = !error;
    }
    timer.cancel();
    socket->close(ignored);
}

}
