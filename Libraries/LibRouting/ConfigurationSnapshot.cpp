#include <LibRouting/ConfigurationSnapshot.h>

#include <algorithm>
#include <cctype>

namespace Routing {

namespace {

std::string without_port_in_lower_case(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(
        name, name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return name;
}

std::string prefix_key(std::string const& host, std::string_view prefix)
{
    return host + '\n' + std::string(prefix);
}

}

ConfigurationSnapshot::ConfigurationSnapshot(Configuration configuration)
    : contents(std::move(configuration))
{
    for (std::size_t index = 0; index < this->contents.routes.size(); ++index) {
        auto const& route = this->contents.routes[index];
        this->routes_by_prefix.emplace(prefix_key(without_port_in_lower_case(route.host), route.path_prefix), index);
    }
    for (std::size_t index = 0; index < this->contents.services.size(); ++index)
        this->services_by_name.emplace(this->contents.services[index].name, index);
    if (!this->contents.accounts)
        return;
    for (std::size_t index = 0; index < this->contents.accounts->size(); ++index) {
        for (auto const& key : (*this->contents.accounts)[index].api_keys)
            this->accounts_by_key.emplace(key, index);
    }
}

Route const* ConfigurationSnapshot::find_route(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find_first_of("?#"));
    auto const name = without_port_in_lower_case(host);
    // NOTE: A prefix ends with a slash, so only the slashes of the path can end a match.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        auto const found = this->routes_by_prefix.find(prefix_key(name, path.substr(0, end + 1)));
        if (found != this->routes_by_prefix.end())
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
    Duration longest { 0 };
    for (auto const& route : this->contents.routes) {
        bool const is_served_there
            = std::ranges::any_of(route.services, [&](ServiceShare const& share) { return share.service == service; });
        if (is_served_there && route.priority >= priority)
            longest = std::max(longest, route.goal);
    }
    return longest;
}

}
