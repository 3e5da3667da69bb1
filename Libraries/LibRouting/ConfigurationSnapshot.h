#pragma once

#include <LibRouting/Configuration.h>

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
    Configuration contents;
    /// Keyed by host, a line feed, and the prefix.
    std::unordered_map<std::string, std::size_t> routes_by_prefix;
    std::unordered_map<std::string_view, std::size_t> accounts_by_key;
    std::unordered_map<std::string_view, std::size_t> services_by_name;
};

using SharedConfiguration = std::shared_ptr<ConfigurationSnapshot const>;

}
