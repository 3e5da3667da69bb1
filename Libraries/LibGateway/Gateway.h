#pragma once

#include <LibGateway/ClientConnection.h>
#include <LibGateway/ControlPlane.h>
#include <LibGateway/InternalHttpServer.h>

#include <boost/asio/signal_set.hpp>
#include <list>

namespace Gateway {

struct GatewayOptions {
    std::string settings_path;
    /// Where metrics are served, on all addresses of the box; nothing for nowhere.
    std::optional<std::uint16_t> metrics_port;
    std::uint64_t seed { 0 };
    /// How servers are ordered while this box leads; nothing to order none.
    std::optional<Leader::FleetPolicy> fleet {};
};

/// The platform front of a box: listeners, what it knows from the store, and the stop.
class Gateway {
public:
    /// Nothing, with a reason, where an address can't be listened on.
    [[nodiscard]] static std::unique_ptr<Gateway> try_create(
        Adapter::BoxEnvironment environment, GatewayOptions options, Core::LastReason& last_reason);

    /// The ports that are listened on, which the kernel may have chosen; 0 for metrics that are served nowhere.
    struct Ports {
        std::uint16_t front { 0 };
        std::uint16_t readiness { 0 };
        std::uint16_t metrics { 0 };
    };
    [[nodiscard]] Ports ports() const;

    /// Serves until the process is told to stop and its requests are finished.
    void run();

private:
    Gateway(Adapter::BoxEnvironment environment, GatewayOptions options);

    [[nodiscard]] bool open_listeners(Core::LastReason& last_reason);
    [[nodiscard]] Task<void> accept_clients();
    [[nodiscard]] Task<void> run_housekeeping();
    [[nodiscard]] Task<void> watch_for_suspension();
    /// The box was suspended for so long, and all that follows from it is done.
    void handle_suspension(Core::Duration suspended);
    [[nodiscard]] Task<void> wait_for_signals();
    [[nodiscard]] Task<void> stop();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] InternalHttpResponse answer_readiness(std::string_view path);
    [[nodiscard]] InternalHttpResponse answer_metrics(std::string_view path);
    void reload_settings();
    void remove_closed_clients();
    void log_readiness_change();

    /// How often idle connections, lapsed endpoints and the log's buffer are looked after. Well below the 2 s in which
    /// an endpoint that leaves has to be left alone.
    static constexpr Core::Duration housekeeping_interval { std::chrono::milliseconds(250) };
    /// How soon after waking a box notices that it was suspended if nothing else comes first. Requests whose time ran
    /// out meanwhile are answered then.
    static constexpr Core::Duration suspension_check { std::chrono::milliseconds(100) };
    /// After the signal to stop: the balancer asks each second and lets go after two refusals.
    static constexpr Core::Duration balancer_lag { std::chrono::milliseconds(2300) };
    /// Kept back from the grace, so that the process ends by itself.
    static constexpr Core::Duration stop_margin { std::chrono::milliseconds(500) };
    /// Part of the memory limit that request bodies may take; the rest is for connections and answers.
    static constexpr double share_of_memory_for_bodies = 0.3;
    /// Part of the sockets that clients may take; the rest is for endpoints and the store.
    static constexpr double share_of_sockets_for_clients = 0.6;

    asio::io_context context { 1 };
    Adapter::BoxEnvironment environment;
    GatewayOptions options;
    GatewayState state;
    ControlPlane control;
    std::optional<tcp::acceptor> clients_acceptor;
    std::optional<InternalHttpServer> readiness;
    std::optional<InternalHttpServer> metrics_listener;
    std::list<std::weak_ptr<ClientConnection>> clients;
    asio::signal_set signals;
    std::optional<std::int64_t> settings_changed_at;
    bool was_ready { false };
};

}
