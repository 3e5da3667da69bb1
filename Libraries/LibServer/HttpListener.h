#pragma once

#include <LibCore/LastReason.h>
#include <LibPlatform/HttpAddress.h>

#include <functional>
#include <httplib.h>
#include <memory>
#include <thread>

namespace Server {

/// Limits of a listener, so that slow or idle connections don't delay others.
struct ListenerLimits {
    int threads { 64 };
    std::chrono::milliseconds read_timeout { 5000 };
    std::chrono::seconds keep_alive { 5 };
    std::size_t requests_per_connection { 1000 };
    std::size_t largest_body_bytes { 4U << 20U };
};

/// An HTTP server on its own thread. Requests in flight are finished before it stops.
class HttpListener {
public:
    [[nodiscard]] static std::unique_ptr<HttpListener> try_create(Platform::HttpAddress const& address,
        ListenerLimits const& limits, std::function<void(httplib::Server&)> const& add_handlers,
        Core::LastReason& last_reason);
    ~HttpListener();
    HttpListener(HttpListener const&) = delete;
    HttpListener& operator=(HttpListener const&) = delete;

    [[nodiscard]] int port() const { return this->bound_port; }
    /// Closes the listener and waits for the requests in flight.
    void stop();

private:
    HttpListener() = default;

    httplib::Server server;
    std::thread thread;
    int bound_port { 0 };
    int listening_socket { -1 };
};

}
