#pragma once

#include <LibRouting/AccountShares.h>
#include <LibRouting/Configuration.h>

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace Routing {

/// An immutable configuration with indexes for looking up routes, accounts and services. Shared by the requests that it
/// was applied to.
class ConfigurationSnapshot {
public:
    explicit ConfigurationSnapshot(Configuration configuration);
    ConfigurationSnapshot(ConfigurationSnapshot const&) = delete;
    ConfigurationSnapshot& operator=(ConfigurationSnapshot const&) = delete;

    [[nodiscard]] Configuration const& configuration() const { return this->contents; }
    [[nodiscard]] std::uint64_t version() const { return this->contents.version; }
    /// The route of the host with the longest prefix that matches the path; null for none. `host` may include a port,
    /// `path` a query.
    [[nodiscard]] Route const* find_route(std::string_view host, std::string_view path) const;
    /// The account that holds the key; null for none.
    [[nodiscard]] ClientAccount const* find_account(std::string_view api_key) const;
    [[nodiscard]] Service const* find_service(std::string_view name) const;
    /// The longest goal of all routes to the service with this priority or a less urgent one.
    [[nodiscard]] Duration longest_goal(std::string_view service, unsigned priority) const;
    /// The routes to the service that are less urgent than a priority.
    struct LessUrgentRoutes {
        /// Number of different priorities.
        std::size_t priorities { 0 };
        Duration longest_goal { 0 };
        /// Whether some have no goal, so that their requests may wait without limit.
        bool has_unlimited { false };
    };
    [[nodiscard]] LessUrgentRoutes less_urgent_routes(std::string_view service, unsigned priority) const;
    [[nodiscard]] bool has_account(AccountKey key) const { return this->account_keys.contains(key); }
    [[nodiscard]] std::size_t account_count() const { return this->account_keys.size(); }
    [[nodiscard]] bool needs_keys() const { return this->contents.accounts.has_value(); }

private:
    /// Lookup key of a route: the index of its host in `hosts`, and its prefix.
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
        /// Whether a route of this very priority has no goal.
        bool has_unlimited { false };
    };

    void index_routes();
    void index_goals();

    Configuration contents;
    /// Index by host name, in lower case and without port.
    std::unordered_map<std::string, std::uint32_t> hosts;
    /// A flat map whose keys refer to the prefixes stored in the routes. With 10,000 routes, a string and a node for
    /// each would take twice the memory and block the event loop while they are freed.
    boost::unordered_flat_map<RouteKey, std::uint32_t, RouteKeyHash> routes_by_key;
    std::unordered_map<std::string_view, std::size_t> accounts_by_key;
    boost::unordered_flat_set<AccountKey, std::hash<AccountKey>> account_keys;
    std::unordered_map<std::string_view, std::size_t> services_by_name;
    /// For each service, ordered by priority: the longest goal of the routes of that priority or less urgent ones.
    std::unordered_map<std::string_view, std::vector<GoalOfPriority>> goals_by_service;
};

using SharedConfiguration = std::shared_ptr<ConfigurationSnapshot const>;

}
