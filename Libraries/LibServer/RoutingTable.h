#pragma once

#include <LibSettings/SettingsReader.h>
#include <LibTraffic/TrafficTypes.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace Server {

/// Assigns each name an id that stays the same until the process ends, also when the settings change.
class NameTable {
public:
    [[nodiscard]] std::uint32_t number_of(std::string const& name);

private:
    std::mutex mutex;
    std::unordered_map<std::string, std::uint32_t> numbers;
};

struct NameTables {
    NameTable classes;
    NameTable accounts;
    NameTable endpoints;
};

/// One version of the settings, indexed for looking up requests. Immutable.
class RoutingTable {
public:
    struct Account {
        Core::AccountId id;
        std::string name;
        std::vector<std::string> classes;
        std::vector<std::string> key_hashes;
    };
    struct RequestClass {
        Core::ClassId id;
        Settings::ClassSettings settings;
    };

    [[nodiscard]] static std::shared_ptr<RoutingTable const> create(Core::Offset version,
        Settings::SettingsDocument const& document, std::string const& failure_domain, NameTables& names);

    [[nodiscard]] Core::Offset version() const { return this->settings_version; }
    /// The account that a key belongs to. Always compares all hashes, so that the time reveals no match.
    [[nodiscard]] Account const* find_account(std::string_view key) const;
    [[nodiscard]] RequestClass const* find_class(std::string const& name) const;
    [[nodiscard]] std::string const* pool_of_model(std::string const& model) const;
    /// The pool with the longest path prefix that matches.
    [[nodiscard]] std::string const* pool_of_path(std::string_view path) const;
    [[nodiscard]] std::map<std::string, Traffic::PoolPolicy> const& pools() const { return this->policies; }
    [[nodiscard]] bool pool_checks_keys(std::string const& pool) const;

private:
    RoutingTable() = default;

    Core::Offset settings_version;
    std::vector<Account> accounts;
    std::unordered_map<std::string, RequestClass> classes;
    std::unordered_map<std::string, std::string> pool_by_model;
    std::map<std::string, std::string> pool_by_prefix;
    std::map<std::string, Traffic::PoolPolicy> policies;
};

}
