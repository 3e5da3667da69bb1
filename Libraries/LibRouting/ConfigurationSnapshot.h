#pragma once

#include <LibRouting/Configuration.h>

#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace Routing {

/// A configuration with the indexes that requests are looked up by. Immutable, shared by the requests it decided on.
class ConfigurationSnapshot {
public:
    explicit ConfigurationSnapshot(Configuration configuration);
    ConfigurationSnapshot(ConfigurationSnapshot const&) = delete;
    ConfigurationSnapshot& operator=(ConfigurationSnapshot const&) = delete;

    [[nodiscard]] Configuration const& configuration() const { return this->contents; }
    [[nodiscard]] std::uint64_t version() const { return this->contents.version; }
    /// The route of the host whose prefix begins the path and is longest; null for none. `host` may carry a port,
    /// `path` a query.
    [[nodiscard]] Route const* find_route(std::string_view host, std::string_view path) const;
    /// The account that holds the key; null for none.
    [[nodiscard]] ClientAccount const* find_account(std::string_view api_key) const;
    [[nodiscard]] Service const* find_service(std::string_view name) const;
    /// The longest goal of the routes to a service whose requests are as urgent as `priority` or less.
    [[nodiscard]] Duration longest_goal(std::string_view service, unsigned priority) const;
    [[nodiscard]] bool needs_keys() const { return this->contents.accounts.has_value(); }

private:
    /// What a route is looked up by: its host's place in `hosts`, and its prefix.
    struct RouteKey {
        std::uint32_t host { 0 };
        std::string_view prefix;

        bool operator==(RouteKey const&) const = default;
    };
    struct RouteKeyHash {
        using is_avalanching = void;

        [[nodiscard]] std::size_t operator()(RouteKey const& key) const;
    };
    struct GoalOfPriority {
        unsigned priority { 0 };
        Duration goal { 0 };
    };

    void index_routes();
    void index_goals();

    Configuration contents;
    /// In lower case, without port. Routes have few hosts.
    std::unordered_map<std::string, std::uint32_t> hosts;
    /// One piece of memory that refers to the prefixes of the routes themselves: a text and a node for each of 10,000
    /// routes take twice the memory, and the event loop stands still while they are freed.
    boost::unordered_flat_map<RouteKey, std::uint32_t, RouteKeyHash> routes_by_key;
    std::unordered_map<std::string_view, std::size_t> accounts_by_key;
    std::unordered_map<std::string_view, std::size_t> services_by_name;
    /// For each service, by rising priority, the longest goal of the routes of that priority or less urgent.
    std::unordered_map<std::string_view, std::vector<GoalOfPriority>> goals_by_service;
};

using SharedConfiguration = std::shared_ptr<ConfigurationSnapshot const>;

}
