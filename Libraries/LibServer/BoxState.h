#pragma once

#include <LibServer/BoxSettings.h>
#include <LibServer/PoolShard.h>
#include <LibServer/RoutingTable.h>

#include <atomic>
#include <shared_mutex>

namespace Server {

/// State that is shared by the listeners and followers of a box: the settings in force and the pools.
class BoxState {
public:
    BoxState(BoxSettings settings, ShardServices services, std::uint64_t seed);

    /// Applies a new version of the settings. Ignores versions that are not newer.
    void take_settings(std::shared_ptr<RoutingTable const> const& table);
    [[nodiscard]] std::shared_ptr<RoutingTable const> table() const;
    [[nodiscard]] std::shared_ptr<PoolShard> shard(std::string const& pool) const;
    [[nodiscard]] std::vector<std::shared_ptr<PoolShard>> shards() const;

    void begin_drain() { this->draining = true; }
    [[nodiscard]] bool is_draining() const { return this->draining; }
    [[nodiscard]] bool is_ready() const { return !this->draining && this->table() != nullptr; }

    [[nodiscard]] BoxSettings const& settings() const { return this->box_settings; }
    [[nodiscard]] NameTables& names() { return this->name_tables; }
    [[nodiscard]] ShardServices const& services() const { return this->shard_services; }

private:
    BoxSettings const box_settings;
    ShardServices shard_services;
    std::uint64_t const seed;
    NameTables name_tables;
    std::atomic<bool> draining { false };
    mutable std::shared_mutex mutex;
    std::shared_ptr<RoutingTable const> current_table;
    std::map<std::string, std::shared_ptr<PoolShard>> shard_by_pool;
};

}
