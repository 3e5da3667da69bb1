#include <LibRouting/EndpointPace.h>

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

bool is_valid(double factor)
{
    return std::isfinite(factor) && factor > 0;
}

/// Probability that the fastest of `count` samples is below the quantile.
double share_below(double quantile, unsigned count)
{
    double all_above = 1;
    for (unsigned sample = 0; sample < count; ++sample)
        all_above *= 1 - quantile;
    return 1 - all_above;
}

/// The value at a position among sorted values, where the first one has position 0.5; interpolated in between.
double value_at(std::vector<double> const& sorted, double position)
{
    auto const index = std::clamp(position - 0.5, 0.0, static_cast<double>(sorted.size() - 1));
    auto const lower = static_cast<std::size_t>(index);
    auto const upper = std::min(lower + 1, sorted.size() - 1);
    return std::lerp(sorted[lower], sorted[upper], index - static_cast<double>(lower));
}

}

void EndpointPace::add(double factor, Core::Instant now)
{
    if (!is_valid(factor))
        return;
    auto const bounded = std::clamp(factor, min_factor, max_factor);
    bool const has_open_group = !this->own.empty() && is_recent(this->own.back(), now);
    if (has_open_group && this->own.back().samples.count < max_group_samples) {
        auto& group = this->own.back();
        group.samples.fastest = std::min(group.samples.fastest, bounded);
        ++group.samples.count;
        group.updated = now;
    } else if (!has_open_group || now - this->own.back().began >= group_interval) {
        this->own.push_back({ { bounded, 1 }, now, now });
    } else {
        return;
    }
    this->estimate(now);
}

void EndpointPace::apply_peer(std::uint64_t box, PaceSamples const& reported, Core::Instant at)
{
    if (!is_valid(reported.fastest) || reported.count == 0)
        return;
    PaceSamples const bounded { std::clamp(reported.fastest, min_factor, max_factor),
        std::min(reported.count, max_group_samples) };
    this->peers.insert_or_assign(box, Group { bounded, at, at });
    if (this->peers.size() > max_peers)
        this->peers.erase(
            std::ranges::min_element(this->peers, {}, [](auto const& entry) { return entry.second.updated; }));
    this->estimate(at);
}

void EndpointPace::estimate(Core::Instant now)
{
    this->newest = std::max(this->newest, now);
    std::erase_if(this->own, [this](Group const& group) { return !is_recent(group, this->newest); });
    std::erase_if(this->peers, [this](auto const& entry) { return !is_recent(entry.second, this->newest); });
    std::vector<double> fastest;
    fastest.reserve(this->own.size() + this->peers.size());
    double expected_below = 0;
    auto const add = [&](PaceSamples const& samples) {
        fastest.push_back(samples.fastest);
        expected_below += share_below(fast_quantile, samples.count);
    };
    for (auto const& group : this->own)
        add(group.samples);
    for (auto const& [box, group] : this->peers)
        add(group.samples);
    if (fastest.empty()) {
        this->estimated = 1;
        return;
    }
    std::ranges::sort(fastest);
    // NOTE: The square makes few samples weigh little without making many weigh less.
    auto const weight = 1 / (1 + std::pow(initial_weight / expected_below, 2));
    this->estimated = std::pow(value_at(fastest, expected_below), weight);
}

double EndpointPace::factor(Core::Instant now) const
{
    if (now - this->newest > retention)
        return 1;
    bool const is_usual = this->estimated >= usual_above && this->estimated <= usual_below;
    return is_usual ? 1 : this->estimated;
}

unsigned EndpointPace::samples(Core::Instant now) const
{
    unsigned total = 0;
    for (auto const& group : this->own)
        total += is_recent(group, now) ? group.samples.count : 0;
    for (auto const& [box, group] : this->peers)
        total += is_recent(group, now) ? group.samples.count : 0;
    return total;
}

std::optional<PaceSamples> EndpointPace::own_samples(Core::Instant now) const
{
    if (this->own.empty() || now - this->own.back().updated > report_retention)
        return {};
    return this->own.back().samples;
}

std::optional<bool> EndpointPace::take_change(Core::Instant now)
{
    auto const current = this->factor(now);
    bool const is_slow_now = current > (this->was_slow ? recovered_factor : slow_factor);
    if (is_slow_now == this->was_slow)
        return {};
    this->was_slow = is_slow_now;
    return is_slow_now;
}

}
