#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Request routing without I/O: configuration, endpoints, placement and retries.
namespace Routing {

using Core::Duration;
using Core::Instant;

/// Whether a request of a route may run more than once.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    NonIdempotent,
    /// Answers with a stream of events; runs at most once unless the route can resume streams.
    Streaming,
};

/// One of the services that share a route's requests.
struct ServiceShare {
    std::string service;
    double weight { 1 };

    bool operator==(ServiceShare const&) const = default;
};

/// A rule that sends the requests of one host and path prefix to services.
struct Route {
    std::string name;
    std::string host;
    std::string path_prefix;
    RouteKind kind { RouteKind::NonIdempotent };
    /// The longest time that a request may be held.
    Duration timeout { 0 };
    /// The time within which an answer has its full value; 0 for no goal.
    Duration goal { 0 };
    /// 0 is the most urgent.
    unsigned priority { 0 };
    std::vector<ServiceShare> services;
    /// The number of endpoints to which one attempt of a client may be sent.
    unsigned max_attempts { 1 };
    /// Whether requests need no API key.
    bool is_public { false };
    bool can_resume { false };
    /// The regions whose endpoints may get its requests; empty for all.
    std::vector<std::string> allowed_regions {};

    bool operator==(Route const&) const = default;

    /// Whether a request that may have run may be sent again.
    [[nodiscard]] bool is_repeatable() const
    {
        return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Streaming && this->can_resume);
    }
};

/// Properties of the engines of a service that runs a language model.
struct EngineTraits {
    unsigned slots { 1 };
    /// Capacity of the prompt and answer cache, in tokens.
    std::uint64_t cache_tokens { 0 };
    /// Tokens in one event of a streamed answer.
    unsigned tokens_per_event { 1 };

    bool operator==(EngineTraits const&) const = default;
};

/// Limits and prices for the servers of a service that can be ordered from the platform.
struct ServerScaling {
    /// In each failure domain, permanent and revocable servers together.
    unsigned min_servers { 0 };
    unsigned max_servers { 0 };
    /// Time from the order until a server accepts requests.
    Duration start_time { 0 };
    /// Price of a revocable server as a fraction of the price of a permanent one; unset if there are no revocable
    /// servers.
    std::optional<double> revocable_price;
    /// Price of a server by failure domain. Servers may be ordered in these failure domains only.
    std::map<std::string, double> domain_prices;

    bool operator==(ServerScaling const&) const = default;
};

struct Service {
    std::string name;
    /// Connections that one endpoint accepts from all boxes together.
    unsigned max_connections { 0 };
    std::optional<EngineTraits> engine;
    /// Unset if the number of servers is not managed by this system.
    std::optional<ServerScaling> scaling {};
    /// Requests per second that a cold endpoint can run; unset if endpoints are never cold.
    std::optional<double> cold_rate {};

    bool operator==(Service const&) const = default;
};

/// Limits on the size and duration of a client's request, and on idle connections.
struct ClientLimits {
    std::uint32_t max_header_bytes { 16 * 1024 };
    std::uint64_t max_body_bytes { 4 * 1024 * 1024 };
    Duration header_timeout { std::chrono::seconds(3) };
    Duration idle_timeout { std::chrono::seconds(15) };

    bool operator==(ClientLimits const&) const = default;
};

struct ClientAccount {
    std::string name;
    std::vector<std::string> api_keys;
    /// Orders requests whose routes have equal priority; 0 is the most urgent. docs/QUESTIONS.md explains why the
    /// priority of the route comes first.
    std::optional<unsigned> priority;
    /// The regions whose endpoints may get the account's requests; empty for all.
    std::vector<std::string> allowed_regions {};

    bool operator==(ClientAccount const&) const = default;
};

/// One version of the operators' configuration. Versions increase, not always by one.
struct Configuration {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<Service> services;
    ClientLimits limits;
    /// If unset, requests need no API key.
    std::optional<std::vector<ClientAccount>> accounts;

    bool operator==(Configuration const&) const = default;
};

}
