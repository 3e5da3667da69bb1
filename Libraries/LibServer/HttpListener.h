#pragma once

#include <LibCore/LastReason.h>
#include <LibHttp/RequestReceiver.h>
#include <LibPlatform/HttpAddress.h>
#include <LibServer/EventLoop.h>
#include <LibServer/HttpAnswer.h>
#include <LibServer/RequestReader.h>
#include <LibServer/WorkerThreads.h>

#include <condition_variable>
#include <list>
#include <mutex>

namespace Server {

/// What clients of a listener may do.
struct ListenerLimits {
    std::size_t max_connections { 256 };
    /// As in Http::RequestLimits. A client may pause as long within a body as before it.
    Http::RequestLimits requests { 64 * 1024, 0, std::chrono::seconds(10), std::chrono::seconds(5), 1 };
    /// How long a connection is kept without a request.
    std::chrono::milliseconds keep_alive { 5000 };
    /// How long a client may take nothing of an answer that is there.
    std::chrono::milliseconds write_timeout { 5000 };
    std::size_t requests_per_connection { 1000 };
};

/// What a listener does with its requests.
struct ListenerHandlers {
    /// Answers a request. Called on one of the listener's threads, and may block.
    std::function<HttpAnswer(RawRequest)> answer;
    /// The answer to a request that could not be read. Called on the loop's thread.
    std::function<WholeAnswer(Http::ReadEnd end, std::string const& fault)> refuse;
};

/// An HTTP server at one address. Its connections are read and written on the event loop, so that clients which are
/// slow or silent hold no thread; requests are handled on worker threads.
class HttpListener {
public:
    [[nodiscard]] static std::unique_ptr<HttpListener> try_create(EventLoop& loop, Platform::HttpAddress const& address,
        int threads, ListenerLimits const& limits, ListenerHandlers handlers, Core::LastReason& last_reason);
    ~HttpListener();
    HttpListener(HttpListener const&) = delete;
    HttpListener& operator=(HttpListener const&) = delete;

    [[nodiscard]] int port() const { return this->bound_port; }
    /// Closes the listener and waits for the requests in flight, but not for clients that are slow to send theirs or
    /// to take their answers.
    void stop();

private:
    class Connection;

    HttpListener(EventLoop& loop, int threads, ListenerLimits const& limits, ListenerHandlers handlers);

    [[nodiscard]] bool open(Platform::HttpAddress const& address, Core::LastReason& last_reason);
    /// Accepts connections until the acceptor is closed.
    [[nodiscard]] Http::Task<void> accept();
    void handle_accepted(Http::tcp::socket socket);
    void connection_ended(std::list<std::weak_ptr<Connection>>::iterator place);
    /// Ends all connections after the listener was closed.
    [[nodiscard]] Http::Task<void> end_connections();

    /// How long a client may still send a request, and take an answer slowly, after the listener was closed. Without a
    /// limit a client that sends or takes a byte now and then would keep the process from ending.
    static constexpr Core::Duration max_receiving_after_stop { std::chrono::seconds(5) };
    static constexpr Core::Duration max_slow_delivery_after_stop { std::chrono::seconds(10) };

    EventLoop& loop;
    ListenerLimits limits;
    ListenerHandlers handlers;
    Http::ConnectionGroup& group;
    Http::tcp::acceptor acceptor;
    WorkerThreads workers;
    int bound_port { 0 };
    std::list<std::weak_ptr<Connection>> connections;
    bool is_accepting { true };
    bool is_stopping { false };
    std::mutex mutex;
    std::condition_variable ended;
    /// Guarded by the mutex.
    bool has_ended { false };
    bool is_stopped { false };
};

}
