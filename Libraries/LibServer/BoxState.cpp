#include <LibServer/BoxState.h>

#include <xxhash.h>

namespace Server {

BoxState::BoxState(BoxSettings settings, ShardServices services, std::uint64_t seed)
    : box_settings(std::move(settings))
    , shard_services(services)
    , seed(seed)
{
}

void BoxState::take_settings(std::shared_ptr<RoutingTable const> const& table)
{
    std::unique_lock const lock(this->mutex);
    if (this->current_table && this->current_table->version() >= table->version())
        return;
    for (auto const& [pool, policy] : table->pools()) {
        auto const found = this->shard_by_pool.find(pool);
        if (found != this->shard_by_pool.end()) {
            found->second->reconfigure(policy, table->version());
            continue;
        }
        auto const pool_seed = this->seed ^ XXH3_64bits(pool.data(), pool.size());
        this->shard_by_pool.emplace(
            pool, std::make_shared<PoolShard>(pool, policy, table->version(), pool_seed, this->shard_services));
    }
    for (auto const& [pool, shard] : this->shard_by_pool) {
        if (table->pools().contains(pool))
            continue;
        // NOTE: A removed pool keeps its shard, which finishes its requests and gets no new ones.
        Traffic::PoolPolicy empty;
        empty.routing = table->pools().empty() ? Settings::RoutingSettings {} : table->pools().begin()->second.routing;
        shard->reconfigure(std::move(empty), table->version());
    }
    if (!table->pools().empty())
        this->shard_services.keyed_attempts.set_boxes(table->pools().begin()->second.routing.boxes);
    this->current_table = table;
    this->shard_services.metrics.set_settings_version(table->version().value());
}

std::shared_ptr<RoutingTable const> BoxState::table() const
{
    std::shared_lock const lock(this->mutex);
    return this->current_table;
}

std::shared_ptr<PoolShard> BoxState::shard(std::string const& pool) const
{
    std::shared_lock const lock(this->mutex);
    auto const found = this->shard_by_pool.find(pool);
    return found == this->shard_by_pool.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<PoolShard>> BoxState::shards() const
{
    std::shared_lock const lock(this->mutex);
    std::vector<std::shared_ptr<PoolShard>> all;
    for (auto const& [pool, shard] : this->shard_by_pool)
        all.push_back(shard);
    return all;
}

}
