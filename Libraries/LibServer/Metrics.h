#pragma once

#include <LibCore/Reason.h>
#include <LibCore/Time.h>
#include <LibPlatform/LogClient.h>

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace Server {

/// All counters, gauges and histograms of a box. Safe to use from several threads.
class Metrics {
public:
    Metrics();

    void count_outcome(std::string const& request_class, Core::Outcome outcome);
    void count_refusal(Core::Reason reason);
    void count_retry(Core::Reason reason);
    void count_placement(Core::Reason reason);
    void observe_first_token(std::string const& request_class, Core::Duration taken);
    void observe_answer(std::string const& request_class, Core::Duration taken);
    void set_pool(std::string const& pool, std::size_t queued, std::size_t running, std::uint64_t lower_tier_sheds,
        std::uint64_t urgent_refusals_beside_lower_work);
    void set_settings_version(std::uint64_t version);
    void count_append(Platform::AppendResult const& result);
    void count_records_dropped(std::uint64_t records);

    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>& outcomes;
    prometheus::Family<prometheus::Counter>& refusals;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& placements;
    prometheus::Family<prometheus::Histogram>& first_token_seconds;
    prometheus::Family<prometheus::Histogram>& answer_seconds;
    prometheus::Family<prometheus::Gauge>& queued;
    prometheus::Family<prometheus::Gauge>& running;
    prometheus::Family<prometheus::Gauge>& lower_tier_sheds;
    prometheus::Family<prometheus::Gauge>& urgent_beside_lower;
    prometheus::Gauge& settings_version;
    prometheus::Family<prometheus::Counter>& appends;
    prometheus::Counter& records_dropped;
};

}
