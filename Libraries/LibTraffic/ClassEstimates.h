#pragma once

#include <LibCore/Time.h>
#include <LibSettings/Settings.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace Traffic {

/// Online estimate of one quantile over recent samples: two P-square accumulators, the newer replaces the older
/// regularly.
class QuantileEstimate {
public:
    QuantileEstimate(double probability, Core::Duration initial_value);

    void add(Core::Duration observed);
    [[nodiscard]] Core::Duration value() const { return this->current_value; }

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    static constexpr std::size_t min_samples = 8;
    static constexpr std::size_t samples_per_rotation = 256;

    double probability;
    Accumulator older;
    Accumulator newer;
    std::size_t newer_samples { 0 };
    bool has_rotated { false };
    Core::Duration current_value;
};

/// Exponentially weighted moving mean.
class MovingMean {
public:
    explicit MovingMean(double initial_value, double new_sample_weight = 0.1)
        : current_value(initial_value)
        , weight(new_sample_weight)
    {
    }

    void add(double observed) { this->current_value += this->weight * (observed - this->current_value); }
    [[nodiscard]] double value() const { return this->current_value; }

private:
    double current_value;
    double weight;
};

/// Estimates of how long answers of one class take, from this box's own attempts.
class ClassEstimates {
public:
    explicit ClassEstimates(Settings::ClassSettings const& settings);

    void observe_first_token(Core::Duration after_dispatch);
    void observe_completion(Core::Duration after_dispatch);

    /// High quantile of the time from dispatch to the first token or the whole answer, depending on the target kind.
    [[nodiscard]] Core::Duration high_time_to_target() const;
    /// Typical time for the same interval: the mean for first tokens, the median for whole answers.
    [[nodiscard]] Core::Duration typical_time_to_target() const;
    [[nodiscard]] Core::Duration high_first_token() const { return this->first_token_high.value(); }
    [[nodiscard]] Core::Duration typical_first_token() const
    {
        return Core::from_seconds(this->first_token_mean.value());
    }
    /// Mean time that a request of this class occupies a slot.
    [[nodiscard]] Core::Duration mean_duration() const { return Core::from_seconds(this->duration_mean.value()); }
    [[nodiscard]] Core::Duration median_duration() const { return this->duration_median.value(); }

private:
    Settings::TargetKind target_kind;
    QuantileEstimate first_token_high;
    QuantileEstimate duration_high;
    QuantileEstimate duration_median;
    MovingMean first_token_mean;
    MovingMean duration_mean;
};

}
