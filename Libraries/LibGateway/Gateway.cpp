#include <LibGateway/Gateway.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace Gateway {

using Core::monotonic_now;
using Routing::ConfigurationFreshness;

namespace {

Routing::RouterSettings router_settings(Adapter::BoxEnvironment const& environment)
{
    Routing::RouterSettings settings { environment.failure_domain, environment.lease, environment.retry, {},
        environment.domain_regions, environment.cold };
    // NOTE: The list is read up to 0.4 of this bound apart, or an endpoint that drains would be used for too long.
    if (environment.drain_within > Core::Duration { 0 })
        settings.max_list_age = environment.drain_within / 2;
    return settings;
}

void log_pace_changes(std::vector<Routing::RequestRouter::PaceChange> const& changes)
{
    for (auto const& change : changes) {
        Log::EventLine(change.is_slow ? "endpoint_slow" : "endpoint_slow_ended")
            .with("endpoint", change.incarnation)
            .with("work_time_factor", change.factor)
            .with("samples", change.samples)
            .info();
    }
}

std::string_view to_string(ConfigurationFreshness trust)
{
    switch (trust) {
    case ConfigurationFreshness::Missing:
        return "missing";
    case ConfigurationFreshness::Fresh:
        return "fresh";
    case ConfigurationFreshness::Aging:
        return "aging";
    case ConfigurationFreshness::Expired:
        break;
    }
    return "expired";
}

std::optional<std::int64_t> change_time(std::string const& path)
{
    std::error_code error;
    auto const time = std::filesystem::last_write_time(path, error);
    return error ? std::nullopt : std::optional<std::int64_t>(time.time_since_epoch().count());
}

}

Gateway::Gateway(Adapter::BoxEnvironment environment, GatewayOptions options)
    : environment(std::move(environment))
    , options(std::move(options))
    , state(this->context, router_settings(this->environment), this->options.seed)
    , control(this->state, this->environment, this->options.fleet, this->options.seed)
    , signals(this->context, SIGTERM, SIGINT, SIGHUP)
    , settings_changed_at(change_time(this->options.settings_path))
{
    auto const memory = static_cast<double>(this->environment.memory_bytes);
    auto const for_connections = static_cast<std::size_t>(memory * share_of_memory_for_connections);
    this->state.budget->set_limits({ for_connections, for_connections / memory_per_reserve, small_request_bytes });
    this->state.budget->set_other_memory([pool = this->state.answer_buffers] { return pool->held_bytes(); });
    this->state.answer_buffers->set_max_bytes(
        static_cast<std::size_t>(this->environment.memory_bytes / memory_per_held_answers));
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    this->state.clock.start(
        static_cast<std::uint64_t>(Core::wall_clock_milliseconds() * microseconds_per_millisecond), monotonic_now());
    this->state.clients.set_max_connections(
        static_cast<std::size_t>(static_cast<double>(this->environment.max_sockets) * share_of_sockets_for_clients));
}

std::unique_ptr<Gateway> Gateway::try_create(
    Adapter::BoxEnvironment environment, GatewayOptions options, Core::LastReason& last_reason)
{
    std::unique_ptr<Gateway> gateway(new Gateway(std::move(environment), std::move(options)));
    if (!gateway->open_listeners(last_reason))
        return nullptr;
    return gateway;
}

bool Gateway::open_listeners(Core::LastReason& last_reason)
{
    this->clients_acceptor = listen_on(this->context, this->environment.front, last_reason);
    auto readiness_acceptor = listen_on(this->context, this->environment.readiness, last_reason);
    if (!this->clients_acceptor || !readiness_acceptor)
        return false;
    this->readiness.emplace(
        std::move(*readiness_acceptor),
        [this](std::string_view path, std::string const&) { return this->answer_readiness(path); },
        *this->state.budget);
    if (!this->control.open_listener(last_reason))
        return false;
    this->boxes_acceptor = this->control.take_forwarding_acceptor();
    if (!this->options.metrics_port)
        return true;
    auto metrics_acceptor = listen_on(this->context, { "0.0.0.0", *this->options.metrics_port }, last_reason);
    if (!metrics_acceptor)
        return false;
    this->metrics_listener.emplace(
        std::move(*metrics_acceptor),
        [this](std::string_view path, std::string const&) { return this->answer_metrics(path); }, *this->state.budget);
    return true;
}

Gateway::Ports Gateway::ports() const
{
    return { this->clients_acceptor->local_endpoint().port(), this->readiness->port(),
        this->metrics_listener ? this->metrics_listener->port() : std::uint16_t { 0 } };
}

void Gateway::run()
{
    Log::EventLine("gateway_started")
        .with("front", this->environment.front.host + ":" + std::to_string(this->environment.front.port))
        .with("store", this->environment.store.host + ":" + std::to_string(this->environment.store.port))
        .with("failure_domain", this->environment.failure_domain)
        .info();
    this->control.start();
    asio::co_spawn(this->context, this->readiness->run(), asio::detached);
    if (this->metrics_listener)
        asio::co_spawn(this->context, this->metrics_listener->run(), asio::detached);
    asio::co_spawn(
        this->context, this->accept(*this->clients_acceptor, ClientConnection::Peer::Client), asio::detached);
    if (this->boxes_acceptor)
        asio::co_spawn(this->context, this->accept(*this->boxes_acceptor, ClientConnection::Peer::Box), asio::detached);
    asio::co_spawn(this->context, this->run_housekeeping(), asio::detached);
    asio::co_spawn(this->context, this->state.reachability.run(), asio::detached);
    asio::co_spawn(this->context, this->wait_for_signals(), asio::detached);
    this->state.on_suspension = [this](Core::Duration suspended) { this->handle_suspension(suspended); };
    asio::co_spawn(this->context, this->watch_for_suspension(), asio::detached);
    this->context.run();
    Log::EventLine("gateway_stopped").with("requests_open", this->state.requests).info();
    spdlog::default_logger()->flush();
}

Task<void> Gateway::accept(tcp::acceptor& acceptor, ClientConnection::Peer peer)
{
    error_code ignored;
    acceptor.non_blocking(true, ignored);
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(as_value);
        if (error) {
            if (acceptor.is_open())
                Log::EventLine("accept_failed").with("reason", error.message()).warning();
            co_await sleep_for(std::chrono::milliseconds(10));
            continue;
        }
        // NOTE: All that wait are accepted at once. Left in the kernel's queue, they would be taken when their clients
        // are about to give up.
        while (!error) {
            this->handle_accepted(std::move(socket), peer);
            socket = tcp::socket(this->context);
            acceptor.accept(socket, error);
        }
    }
}

void Gateway::handle_accepted(tcp::socket socket, ClientConnection::Peer peer)
{
    error_code ignored;
    std::shared_ptr<Http::BudgetedConnection> budgeted;
    if (this->may_take(peer))
        budgeted = this->state.budget->try_open(this->state.clients, monotonic_now());
    if (!budgeted) {
        ++this->turned_away;
        this->state.metrics.count_client_turned_away();
        // NOTE: A reset tells the client at once that its request was not read, and it goes to another box.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        return;
    }
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(this->buffer_for_connection())), ignored);
    auto const client = std::make_shared<ClientConnection>(this->state, std::move(socket), peer, std::move(budgeted));
    this->clients.push_back(client);
    // NOTE: run() keeps the connection alive only once it has started. The lambda does so until then.
    asio::co_spawn(
        this->context, [client] { return client->run(); }, asio::detached);
}

std::size_t Gateway::buffer_for_connection() const
{
    auto const share = static_cast<double>(this->environment.memory_bytes) * share_of_memory_for_unread;
    auto const filled = static_cast<double>(this->state.clients.connections() * receive_buffer_bytes);
    return filled <= share ? receive_buffer_bytes : small_receive_buffer_bytes;
}

void Gateway::account_for_unread()
{
    // NOTE: Few clients can't fill their share, and a question to the kernel for each connection costs processor time.
    if (this->buffer_for_connection() == receive_buffer_bytes)
        return;
    for (auto const& weak : this->clients) {
        if (auto const client = weak.lock())
            client->update_unread();
    }
    this->state.budget->enforce_limit(monotonic_now());
}

bool Gateway::may_take(ClientConnection::Peer peer)
{
    // NOTE: Another box has read the request already, and has its own limit.
    if (peer == ClientConnection::Peer::Box)
        return true;
    return this->admission.may_take({ this->lag.measure(), this->state.starting_clients }, monotonic_now());
}

void Gateway::log_turned_away()
{
    auto const count = std::exchange(this->turned_away, 0);
    if (count == 0)
        return;
    Log::EventLine("clients_turned_away")
        .with("count", count)
        .with("clients", this->state.clients.connections())
        .with("starting", this->state.starting_clients)
        .with("loop_lag_ms", Core::to_milliseconds(this->lag.measure()))
        .warning();
}

void Gateway::log_memory_pressure()
{
    auto const counts = this->state.budget->counts();
    if (counts == this->logged_counts)
        return;
    Log::EventLine("connections_gave_way")
        .with("evicted", counts.evicted - this->logged_counts.evicted)
        .with("refused", counts.refused - this->logged_counts.refused)
        .with("clients", this->state.clients.connections())
        .with("used_bytes", this->state.budget->used_bytes())
        .with("max_bytes", this->state.budget->memory_limits().all_bytes)
        .warning();
    this->logged_counts = counts;
}

Task<void> Gateway::run_housekeeping()
{
    for (;;) {
        auto const now = monotonic_now();
        this->state.router.set_shared_clock(this->state.clock.offset_from_steady_clock());
        for (auto const endpoint : this->state.router.expire_endpoints(now))
            this->state.connections.close_idle(endpoint);
        log_pace_changes(this->state.router.take_pace_changes(now));
        this->state.connections.close_expired(now);
        this->state.forwarder.connections().close_expired(now);
        this->state.stream_origin_exchange.expire(now);
        this->remove_closed_clients();
        this->account_for_unread();
        this->log_readiness_change();
        this->log_turned_away();
        this->log_memory_pressure();
        if (auto const changed_at = change_time(this->options.settings_path); changed_at != this->settings_changed_at)
            this->reload_settings();
        spdlog::default_logger()->flush();
        co_await sleep_for(housekeeping_interval);
    }
}

Task<void> Gateway::watch_for_suspension()
{
    for (;;) {
        co_await sleep_for(suspension_check);
        this->state.check_for_suspension();
    }
}

void Gateway::handle_suspension(Core::Duration suspended)
{
    auto const now = monotonic_now();
    this->state.router.after_suspension(now);
    this->control.after_suspension(now);
    this->state.connections.close_expired(now);
    this->state.forwarder.connections().close_expired(now);
    std::size_t expired = 0;
    for (auto const& weak : this->clients) {
        auto const client = weak.lock();
        expired += client && client->after_suspension() ? 1 : 0;
    }
    this->state.metrics.observe_suspension(suspended);
    Log::EventLine("box_was_suspended")
        .with("suspended_ms", Core::to_milliseconds(suspended))
        .with("configuration_age_ms", Core::to_milliseconds(this->state.router.configuration_age(now)))
        .with("configuration", to_string(this->state.router.configuration_freshness(now)))
        .with("requests_open", this->state.requests)
        .with("requests_expired", expired)
        .warning();
}

Task<void> Gateway::wait_for_signals()
{
    for (;;) {
        auto const [error, signal] = co_await this->signals.async_wait(as_value);
        if (error)
            co_return;
        if (signal != SIGHUP)
            break;
        this->reload_settings();
    }
    co_await this->stop();
}

Task<void> Gateway::stop()
{
    auto const signalled_at = monotonic_now();
    auto const shutdown_deadline = signalled_at + this->environment.stop_grace - stop_margin;
    this->state.is_stopping = true;
    Log::EventLine("stop_begun").with("requests_open", this->state.requests).info();
    this->state.stream_origin_exchange.hand_over();
    // NOTE: The load balancer sends new clients until two probes have failed, so they are served until then.
    co_await sleep_for(std::min(balancer_lag, shutdown_deadline - signalled_at));
    error_code ignored;
    this->clients_acceptor->close(ignored);
    if (this->boxes_acceptor)
        this->boxes_acceptor->close(ignored);
    this->state.shutdown_deadline = shutdown_deadline;
    while (monotonic_now() < shutdown_deadline) {
        for (auto const& weak : this->clients) {
            if (auto const client = weak.lock())
                client->close_if_idle();
        }
        this->remove_closed_clients();
        if (this->clients.empty())
            break;
        co_await sleep_for(std::chrono::milliseconds(50));
    }
    this->control.prepare_exit();
    this->context.stop();
}

bool Gateway::is_ready() const
{
    auto const trust = this->state.router.configuration_freshness(monotonic_now());
    bool const knows_configuration = trust == ConfigurationFreshness::Fresh || trust == ConfigurationFreshness::Aging;
    return !this->state.is_stopping && !this->state.awaits_other_boxes && knows_configuration
        && this->control.has_endpoints();
}

InternalHttpResponse Gateway::answer_readiness(std::string_view path)
{
    if (!Adapter::is_readiness_path(path))
        return { status_not_found, "" };
    return this->is_ready() ? InternalHttpResponse { status_ok, "ready\n" }
                            : InternalHttpResponse { status_unavailable, "no\n" };
}

InternalHttpResponse Gateway::answer_metrics(std::string_view path)
{
    if (path != "/metrics")
        return { status_not_found, "" };
    auto const configuration = this->state.router.configuration();
    this->state.metrics.set_configuration(
        configuration ? configuration->version() : 0, this->state.router.configuration_age(monotonic_now()));
    this->state.metrics.set_refused_requests(this->state.crash_exchange.refused_count());
    this->state.metrics.set_held_answer_bytes(this->state.answer_buffers->held_bytes());
    this->state.metrics.set_connection_memory(this->state.budget->used_bytes(), this->state.budget->counts());
    this->state.metrics.set_limited_endpoints(this->state.router.limited_endpoints());
    this->state.metrics.set_slow_endpoints(this->state.router.slow_endpoints(monotonic_now()));
    return { status_ok, this->state.metrics.to_text() };
}

void Gateway::reload_settings()
{
    this->settings_changed_at = change_time(this->options.settings_path);
    std::ifstream file(this->options.settings_path);
    std::string const text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    Core::LastReason reason;
    auto changed = Adapter::decode_environment(text, reason);
    if (!changed) {
        Log::EventLine("settings_rejected").with("reason", reason.text).error();
        return;
    }
    this->environment = std::move(*changed);
    this->state.router.set_settings(router_settings(this->environment));
    this->control.set_environment(this->environment);
    Log::EventLine("settings_reloaded").info();
}

void Gateway::remove_closed_clients()
{
    this->clients.remove_if([](auto const& client) { return client.expired(); });
}

void Gateway::log_readiness_change()
{
    bool const is_ready = this->is_ready();
    if (is_ready == this->was_ready)
        return;
    this->was_ready = is_ready;
    Log::EventLine(is_ready ? "ready" : "not_ready")
        .with("configuration_age_ms", Core::to_milliseconds(this->state.router.configuration_age(monotonic_now())))
        .with("endpoints", this->state.router.endpoint_count())
        .with("stopping", this->state.is_stopping ? "yes" : "no")
        .info();
}

}
