#include <LibTraffic/ClassEstimates.h>

#include <algorithm>

namespace Traffic {

namespace {

namespace statistics = boost::accumulators;

// NOTE: An initial value of a fifth of the target admits the first requests; samples soon replace it.
constexpr int initial_value_divisor = 5;
constexpr double high_probability = 0.9;

}

QuantileEstimate::QuantileEstimate(double probability_to_track, Core::Duration initial_value)
    : probability(probability_to_track)
    , older(statistics::quantile_probability = probability_to_track)
    , newer(statistics::quantile_probability = probability_to_track)
    , current_value(initial_value)
{
}

void QuantileEstimate::add(Core::Duration observed)
{
    auto const sample = static_cast<double>(observed.count());
    this->newer(sample);
    this->older(sample);
    ++this->newer_samples;
    if (this->newer_samples >= samples_per_rotation) {
        this->older = this->newer;
        this->newer = Accumulator(statistics::quantile_probability = this->probability);
        this->newer_samples = 0;
        this->has_rotated = true;
    }
    if (this->has_rotated || this->newer_samples >= min_samples)
        this->current_value
            = Core::Duration { static_cast<Core::Duration::rep>(statistics::p_square_quantile(this->older)) };
}

ClassEstimates::ClassEstimates(Settings::ClassSettings const& settings)
    : target_kind(settings.target_kind)
    , first_token_high(high_probability, settings.target / initial_value_divisor)
    , duration_high(high_probability, settings.target / initial_value_divisor)
    , duration_median(0.5, settings.target / initial_value_divisor)
    , first_token_mean(Core::to_seconds(settings.target / initial_value_divisor))
    , duration_mean(Core::to_seconds(settings.target / initial_value_divisor))
{
}

void ClassEstimates::observe_first_token(Core::Duration after_dispatch)
{
    this->first_token_high.add(after_dispatch);
    this->first_token_mean.add(Core::to_seconds(after_dispatch));
}

void ClassEstimates::observe_completion(Core::Duration after_dispatch)
{
    this->duration_high.add(after_dispatch);
    this->duration_median.add(after_dispatch);
    this->duration_mean.add(Core::to_seconds(after_dispatch));
}

Core::Duration ClassEstimates::typical_time_to_target() const
{
    return this->target_kind == Settings::TargetKind::FirstToken ? this->typical_first_token()
                                                                 : this->duration_median.value();
}

Core::Duration ClassEstimates::high_time_to_target() const
{
    return this->target_kind == Settings::TargetKind::FirstToken ? this->first_token_high.value()
                                                                 : this->duration_high.value();
}

}
