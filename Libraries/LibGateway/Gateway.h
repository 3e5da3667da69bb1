#pragma once

#include <LibGateway/ClientConnection.h>
#include <LibGateway/ControlPlane.h>
#include <LibGateway/EventLoopLag.h>
#include <LibGateway/InternalHttpServer.h>
#include <LibRouting/ConnectionAdmission.h>

#include <boost/asio/signal_set.hpp>
#include <list>

namespace Gateway {

struct GatewayOptions {
    std::string settings_path;
    /// Port for metrics, on all addresses of the box. Nothing to serve no metrics.
    std::optional<std::uint16_t> metrics_port;
    std::uint64_t seed { 0 };
    /// How servers are ordered while this box is the leader. Nothing to order none.
    std::optional<Leader::FleetPolicy> fleet {};
};

/// The gateway process of a box: opens the listeners, keeps the configuration current, and shuts down gracefully.
class Gateway {
public:
    /// Returns null and sets `last_reason` if an address can't be listened on.
    [[nodiscard]] static std::unique_ptr<Gateway> try_create(
        Adapter::BoxEnvironment environment, GatewayOptions options, Core::LastReason& last_reason);

    /// The listening ports, which the kernel may have chosen. `metrics` is 0 if metrics aren't served.
    struct Ports {
        std::uint16_t front { 0 };
        std::uint16_t readiness { 0 };
        std::uint16_t metrics { 0 };
    };
    [[nodiscard]] Ports ports() const;

    /// Serves until the process receives a signal to stop and its requests are finished.
    void run();

private:
    Gateway(Adapter::BoxEnvironment environment, GatewayOptions options);

    [[nodiscard]] bool open_listeners(Core::LastReason& last_reason);
    /// Whether the box takes a further connection, by the work that waits.
    [[nodiscard]] bool may_take(ClientConnection::Peer peer);
    /// Accepts connections until the acceptor is closed.
    [[nodiscard]] Task<void> accept(tcp::acceptor& acceptor, ClientConnection::Peer peer);
    /// The size of the kernel's receive buffer for a new connection.
    [[nodiscard]] std::size_t buffer_for_connection() const;
    /// Updates the account of bytes that the kernel holds unread, if there may be many.
    void account_for_unread();
    /// Serves the connection, or resets it unread.
    void handle_accepted(tcp::socket socket, ClientConnection::Peer peer);
    [[nodiscard]] Task<void> run_housekeeping();
    [[nodiscard]] Task<void> watch_for_suspension();
    /// Updates all state that depends on time after the box was suspended for the given duration.
    void handle_suspension(Core::Duration suspended);
    [[nodiscard]] Task<void> wait_for_signals();
    [[nodiscard]] Task<void> stop();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] InternalHttpResponse answer_readiness(std::string_view path);
    [[nodiscard]] InternalHttpResponse answer_metrics(std::string_view path);
    void reload_settings();
    void remove_closed_clients();
    void log_readiness_change();
    void log_turned_away();
    /// Logs connections that gave way to others since the last line on them.
    void log_memory_pressure();

    /// Interval for closing idle connections, removing expired endpoints and flushing the log. Well below the 2 s
    /// within which a draining endpoint must receive no new requests.
    static constexpr Core::Duration housekeeping_interval { std::chrono::milliseconds(250) };
    /// Interval of the check for a suspension, at which requests that expired during the suspension are answered.
    static constexpr Core::Duration suspension_check { std::chrono::milliseconds(100) };
    /// How long connections are accepted after the signal to stop. The load balancer probes every second and removes
    /// the box after two failed probes.
    static constexpr Core::Duration balancer_lag { std::chrono::milliseconds(2300) };
    /// Subtracted from the grace period, so that the process exits before it is killed.
    static constexpr Core::Duration stop_margin { std::chrono::milliseconds(500) };
    /// Share of the memory limit for all connections together: heads, bodies, answers, and what the kernel holds
    /// unread. The rest is for the process itself and for what the allocator can't give back.
    static constexpr double share_of_memory_for_connections = 0.475;
    /// Divides the memory for connections into the part that only small requests may use.
    static constexpr std::size_t memory_per_reserve = 8;
    /// The head of an ordinary request and a body of some ten thousand tokens.
    static constexpr std::size_t small_request_bytes = 128 * 1024;
    /// Share of the memory limit for receive buffers in the kernel, if all clients fill theirs.
    static constexpr double share_of_memory_for_unread = 0.1;
    /// A client sends as much without waiting for the box as it does in a round trip of 6 ms at 80 Mbit/s. Without a
    /// limit the kernel lets the buffer of one connection grow to megabytes.
    static constexpr std::size_t receive_buffer_bytes = 64 * 1024;
    /// Where there are so many clients that their buffers would exceed their share.
    static constexpr std::size_t small_receive_buffer_bytes = 16 * 1024;
    /// Divides the memory limit into the part for answers that are held for slow clients.
    static constexpr std::uint64_t memory_per_held_answers = 8;
    /// Share of the sockets for client connections. The rest is for endpoints and the store.
    static constexpr double share_of_sockets_for_clients = 0.6;

    asio::io_context context { 1 };
    Adapter::BoxEnvironment environment;
    GatewayOptions options;
    GatewayState state;
    ControlPlane control;
    std::optional<tcp::acceptor> clients_acceptor;
    /// For requests that other boxes forward; empty if they can't reach this one.
    std::optional<tcp::acceptor> boxes_acceptor;
    std::optional<InternalHttpServer> readiness;
    std::optional<InternalHttpServer> metrics_listener;
    std::list<std::weak_ptr<ClientConnection>> clients;
    EventLoopLag lag { this->context };
    Routing::ConnectionAdmission admission;
    /// Connections that were turned away since the last log line on them.
    std::size_t turned_away { 0 };
    Http::BudgetCounts logged_counts;
    asio::signal_set signals;
    std::optional<std::int64_t> settings_changed_at;
    bool was_ready { false };
};

}
