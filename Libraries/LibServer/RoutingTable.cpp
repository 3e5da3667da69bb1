#include <LibServer/RoutingTable.h>

#include <LibPlatform/Digest.h>
#include <LibServer/Credentials.h>

namespace Server {

std::uint32_t NameTable::number_of(std::string const& name)
{
    std::scoped_lock const lock(this->mutex);
    auto const next = static_cast<std::uint32_t>(this->numbers.size());
    return this->numbers.emplace(name, next).first->second;
}

std::shared_ptr<RoutingTable const> RoutingTable::create(Core::Offset version,
    Settings::SettingsDocument const& document, std::string const& failure_domain, NameTables& names)
{
    std::shared_ptr<RoutingTable> table(new RoutingTable);
    table->settings_version = version;
    Traffic::PoolPolicy common;
    common.routing = document.routing;
    common.failure_domain = failure_domain;
    for (auto const& settings : document.classes) {
        Core::ClassId const id { names.classes.number_of(settings.name) };
        common.classes.emplace(id, settings);
        table->classes.emplace(settings.name, RequestClass { id, settings });
    }
    for (auto const& account : document.accounts) {
        Core::AccountId const id { names.accounts.number_of(account.name) };
        common.account_weights.emplace(id, account.weight);
        table->accounts.push_back({ id, account.name, account.classes, account.key_hashes });
    }
    for (auto const& endpoint : document.endpoints) {
        auto& policy = table->policies.try_emplace(endpoint.pool, common).first->second;
        policy.endpoints.emplace(Core::EndpointId { names.endpoints.number_of(endpoint.name) }, endpoint);
        for (auto const& model : endpoint.models)
            table->pool_by_model.emplace(model, endpoint.pool);
        for (auto const& prefix : endpoint.path_prefixes)
            table->pool_by_prefix.emplace(prefix, endpoint.pool);
    }
    return table;
}

RoutingTable::Account const* RoutingTable::find_account(std::string_view key) const
{
    auto const hash = Platform::sha256_hex(key);
    Account const* found = nullptr;
    for (auto const& account : this->accounts) {
        for (auto const& known : account.key_hashes) {
            if (equal_in_constant_time(hash, known))
                found = &account;
        }
    }
    return found;
}

RoutingTable::RequestClass const* RoutingTable::find_class(std::string const& name) const
{
    auto const found = this->classes.find(name);
    return found == this->classes.end() ? nullptr : &found->second;
}

std::string const* RoutingTable::pool_of_model(std::string const& model) const
{
    auto const found = this->pool_by_model.find(model);
    return found == this->pool_by_model.end() ? nullptr : &found->second;
}

std::string const* RoutingTable::pool_of_path(std::string_view path) const
{
    std::string const* found = nullptr;
    std::size_t longest = 0;
    for (auto const& [prefix, pool] : this->pool_by_prefix) {
        if (!path.starts_with(prefix) || prefix.size() <= longest)
            continue;
        longest = prefix.size();
        found = &pool;
    }
    return found;
}

bool RoutingTable::pool_checks_keys(std::string const& pool) const
{
    auto const found = this->policies.find(pool);
    if (found == this->policies.end())
        return false;
    // NOTE: The settings check has made sure that all endpoints of a pool agree.
    return found->second.endpoints.begin()->second.checks_keys;
}

}
