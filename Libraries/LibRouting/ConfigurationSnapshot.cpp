#include <LibRouting/ConfigurationSnapshot.h>

#include <algorithm>
#include <xxhash.h>

namespace Routing {

namespace {

std::string without_port_in_lower_case(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(),
        [](char sign) { return sign >= 'A' && sign <= 'Z' ? static_cast<char>(sign - 'A' + 'a') : sign; });
    return name;
}

}

std::size_t ConfigurationSnapshot::RouteKeyHash::operator()(RouteKey const& key) const
{
    return XXH3_64bits_withSeed(key.prefix.data(), key.prefix.size(), key.host);
}

ConfigurationSnapshot::ConfigurationSnapshot(Configuration configuration)
    : contents(std::move(configuration))
{
    this->index_routes();
    this->index_goals();
    for (std::size_t index = 0; index < this->contents.services.size(); ++index)
        this->services_by_name.emplace(this->contents.services[index].name, index);
    if (!this->contents.accounts)
        return;
    for (std::size_t index = 0; index < this->contents.accounts->size(); ++index) {
        this->account_keys.insert(account_key((*this->contents.accounts)[index].name));
        for (auto const& key : (*this->contents.accounts)[index].api_keys)
            this->accounts_by_key.emplace(key, index);
    }
}

void ConfigurationSnapshot::index_routes()
{
    this->routes_by_key.reserve(this->contents.routes.size());
    for (std::uint32_t index = 0; index < this->contents.routes.size(); ++index) {
        auto const& route = this->contents.routes[index];
        auto const next_host = static_cast<std::uint32_t>(this->hosts.size());
        auto const host = this->hosts.try_emplace(without_port_in_lower_case(route.host), next_host).first->second;
        this->routes_by_key.try_emplace(RouteKey { host, route.path_prefix }, index);
    }
}

void ConfigurationSnapshot::index_goals()
{
    for (auto const& route : this->contents.routes) {
        for (auto const& share : route.services) {
            auto& goals = this->goals_by_service[share.service];
            auto found = std::ranges::lower_bound(goals, route.priority, {}, &GoalOfPriority::priority);
            if (found == goals.end() || found->priority != route.priority)
                found = goals.insert(found, { route.priority });
            found->goal = std::max(found->goal, route.goal);
            found->has_unlimited |= route.goal <= Duration { 0 };
        }
    }
    for (auto& [service, goals] : this->goals_by_service) {
        Duration longest { 0 };
        for (auto entry = goals.rbegin(); entry != goals.rend(); ++entry)
            entry->goal = longest = std::max(longest, entry->goal);
    }
}

Route const* ConfigurationSnapshot::find_route(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find_first_of("?#"));
    auto const host_found = this->hosts.find(without_port_in_lower_case(host));
    if (host_found == this->hosts.end())
        return nullptr;
    // NOTE: Prefixes end with a slash, so a match can only end at a slash of the path.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        auto const found = this->routes_by_key.find(RouteKey { host_found->second, path.substr(0, end + 1) });
        if (found != this->routes_by_key.end())
            return &this->contents.routes[found->second];
        if (end == 0)
            break;
    }
    return nullptr;
}

ClientAccount const* ConfigurationSnapshot::find_account(std::string_view api_key) const
{
    auto const found = this->accounts_by_key.find(api_key);
    return found == this->accounts_by_key.end() ? nullptr : &(*this->contents.accounts)[found->second];
}

Service const* ConfigurationSnapshot::find_service(std::string_view name) const
{
    auto const found = this->services_by_name.find(name);
    return found == this->services_by_name.end() ? nullptr : &this->contents.services[found->second];
}

Duration ConfigurationSnapshot::longest_goal(std::string_view service, unsigned priority) const
{
    auto const found = this->goals_by_service.find(service);
    if (found == this->goals_by_service.end())
        return Duration { 0 };
    auto const goal = std::ranges::lower_bound(found->second, priority, {}, &GoalOfPriority::priority);
    return goal == found->second.end() ? Duration { 0 } : goal->goal;
}

ConfigurationSnapshot::LessUrgentRoutes ConfigurationSnapshot::less_urgent_routes(
    std::string_view service, unsigned priority) const
{
    LessUrgentRoutes routes;
    auto const found = this->goals_by_service.find(service);
    if (found == this->goals_by_service.end())
        return routes;
    for (auto const& entry : found->second) {
        if (entry.priority <= priority)
            continue;
        ++routes.priorities;
        routes.longest_goal = std::max(routes.longest_goal, entry.goal);
        routes.has_unlimited |= entry.has_unlimited;
    }
    return routes;
}

}
