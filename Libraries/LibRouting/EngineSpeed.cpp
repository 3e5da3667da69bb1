#include <LibRouting/EngineSpeed.h>

#include <algorithm>
#include <cmath>

namespace Routing {

StreamingQuantile::StreamingQuantile(double quantile, double prior)
    : quantile(quantile)
    , current(prior)
{
}

void StreamingQuantile::add(double sample)
{
    if (!std::isfinite(sample) || sample <= 0)
        return;
    auto const decayed = first_step / (1 + static_cast<double>(this->count) / halving_samples);
    auto const step = std::max(smallest_step, decayed);
    this->current *= std::exp(sample > this->current ? step * this->quantile : -step * (1 - this->quantile));
    ++this->count;
}

void EngineSpeedEstimate::add_first_piece(double tokens, double taken_milliseconds)
{
    if (tokens < min_prompt_tokens)
        return;
    // NOTE: The first token takes one step after the prompt was read.
    this->reading.add((taken_milliseconds - this->step.value()) / tokens);
    this->combine();
}

std::optional<double> EngineSpeedEstimate::add_tokens(double tokens, double taken_milliseconds)
{
    if (tokens < min_answer_tokens)
        return {};
    auto const sample = taken_milliseconds / tokens;
    this->step.add(sample);
    this->combine();
    if (this->step.samples() < min_samples_to_compare)
        return {};
    return sample / this->speed().step_milliseconds;
}

void EngineSpeedEstimate::apply_peer(std::uint64_t box, PeerSpeed reported)
{
    std::erase_if(this->peers, [&](auto const& entry) { return reported.at - entry.second.at > peer_retention; });
    this->peers.insert_or_assign(box, reported);
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
    // NOTE: This box has one sample more than it has seen, so that there is a speed before the first sample.
    add(this->own_speed(), static_cast<double>(std::min(this->samples(), max_samples)) + 1);
    for (auto const& [box, peer] : this->peers)
        add(peer.speed, static_cast<double>(std::min(peer.samples, max_samples)));
    this->combined = { std::exp(log_reading / weights), std::exp(log_step / weights) };
}

}
