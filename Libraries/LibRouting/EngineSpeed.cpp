#include <LibRouting/EngineSpeed.h>

#include <algorithm>
#include <cmath>

namespace Routing {

FollowedQuantile::FollowedQuantile(double quantile, double prior)
    : quantile(quantile)
    , current(prior)
{
}

void FollowedQuantile::add(double sample)
{
    if (!std::isfinite(sample) || sample <= 0)
        return;
    auto const decayed = first_step / (1 + static_cast<double>(this->count) / halving_samples);
    auto const step = std::max(last_step, decayed);
    this->current *= std::exp(sample > this->current ? step * this->quantile : -step * (1 - this->quantile));
    ++this->count;
}

void EngineSpeedEstimate::saw_first_piece(double tokens, double taken_milliseconds)
{
    if (tokens < fewest_tokens)
        return;
    // NOTE: The first token takes a step after the prompt was read.
    this->reading.add((taken_milliseconds - this->step.value()) / tokens);
    this->combine();
}

void EngineSpeedEstimate::saw_tokens(double tokens, double taken_milliseconds)
{
    if (tokens < fewest_answer_tokens)
        return;
    this->step.add(taken_milliseconds / tokens);
    this->combine();
}

void EngineSpeedEstimate::take_peer(std::uint64_t box, PeerSpeed told)
{
    std::erase_if(this->peers, [&](auto const& entry) { return told.at - entry.second.at > peer_memory; });
    this->peers.insert_or_assign(box, told);
    this->combine();
}

EngineSpeed EngineSpeedEstimate::own_speed() const
{
    return { 1 / this->reading.value(), this->step.value() };
}

std::uint64_t EngineSpeedEstimate::samples() const
{
    return std::min(this->reading.samples(), this->step.samples());
}

void EngineSpeedEstimate::combine()
{
    if (this->peers.empty()) {
        this->combined = this->own_speed();
        return;
    }
    double weights = 0;
    double log_reading = 0;
    double log_step = 0;
    auto const add = [&](EngineSpeed const& speed, double weight) {
        weights += weight;
        log_reading += weight * std::log(speed.prefill_tokens_per_millisecond);
        log_step += weight * std::log(speed.step_milliseconds);
    };
    // NOTE: One more than its samples for this box, so that there is a speed before the first.
    add(this->own_speed(), static_cast<double>(std::min(this->samples(), most_samples)) + 1);
    for (auto const& [box, peer] : this->peers)
        add(peer.speed, static_cast<double>(std::min(peer.samples, most_samples)));
    this->combined = { std::exp(log_reading / weights), std::exp(log_step / weights) };
}

}
