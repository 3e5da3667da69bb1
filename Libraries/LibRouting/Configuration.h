#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Decisions of the platform front that need no I/O: configuration, endpoints, placement, retries.
namespace Routing {

using Core::Duration;
using Core::Instant;

/// What sending a request twice would do.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    NonIdempotent,
    /// Answers with events as they are made; runs at most once unless the route says that it can be resumed.
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
    /// The longest that the operator wants a request held.
    Duration timeout { 0 };
    /// Within this time an answer earns its full benefit.
    Duration goal { 0 };
    /// 0 is the most urgent.
    unsigned priority { 0 };
    std::vector<ServiceShare> services;
    /// The most endpoints that one attempt of a client may be sent to.
    unsigned max_attempts { 1 };
    /// Whether requests need no API key.
    bool is_public { false };
    bool can_resume { false };

    bool operator==(Route const&) const = default;

    /// Whether a request that may have run may be sent again.
    [[nodiscard]] bool is_repeatable() const
    {
        return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Streaming && this->can_resume);
    }
};

/// What the configuration says of a service that runs a language model.
struct EngineTraits {
    unsigned slots { 1 };
    /// Memory for prompts and answers, in tokens.
    std::uint64_t cache_tokens { 0 };
    /// Tokens in one event of a stream.
    unsigned tokens_per_event { 1 };

    bool operator==(EngineTraits const&) const = default;
};

/// How many servers of a service may be ordered from the platform.
struct ServerScaling {
    /// In each failure domain, of all kinds together.
    unsigned min_servers { 0 };
    unsigned max_servers { 0 };
    /// From the order until a server takes requests.
    Duration start_time { 0 };
    /// Price of a server that the platform may take away again, as a part of the price of others; nothing where there
    /// are none.
    std::optional<double> revocable_price;
    /// Price of a server by failure domain, of those in which there may be any.
    std::map<std::string, double> domain_prices;

    bool operator==(ServerScaling const&) const = default;
};

struct Service {
    std::string name;
    /// Connections that one endpoint accepts from all boxes together.
    unsigned max_connections { 0 };
    std::optional<EngineTraits> engine;
    /// Nothing where the number of servers isn't the system's to choose.
    std::optional<ServerScaling> scaling {};

    bool operator==(Service const&) const = default;
};

/// Bounds on what a client may send, and on how long it may take or stay idle.
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
    /// Decides among requests whose routes have the same priority. docs/QUESTIONS.md tells why not the other way round.
    std::optional<unsigned> priority;

    bool operator==(ClientAccount const&) const = default;
};

/// One version of what operators configured. Versions rise, in uneven steps.
struct Configuration {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<Service> services;
    ClientLimits limits;
    /// Without accounts no request needs a key.
    std::optional<std::vector<ClientAccount>> accounts;

    bool operator==(Configuration const&) const = default;
};

}
