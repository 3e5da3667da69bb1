#include <LibServer/Metrics.h>

#include <prometheus/text_serializer.h>

namespace Server {

namespace {

prometheus::Histogram::BucketBoundaries const& latency_buckets()
{
    static prometheus::Histogram::BucketBoundaries const boundaries { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45,
        0.63, 0.8, 1, 1.5, 2, 3, 5, 10, 30, 60, 300 };
    return boundaries;
}

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry, char const* name, char const* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& gauge(prometheus::Registry& registry, char const* name, char const* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& histogram(prometheus::Registry& registry, char const* name, char const* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

}

Metrics::Metrics()
    : registry(std::make_shared<prometheus::Registry>())
    , outcomes(counter(*this->registry, "cleatbeam_outcomes_total", "What callers were told, by class and outcome."))
    , refusals(counter(*this->registry, "cleatbeam_refusals_total", "Refusals by reason."))
    , retries(counter(*this->registry, "cleatbeam_retries_total", "Retries and preemptions by reason."))
    , placements(counter(*this->registry, "cleatbeam_placements_total", "Requests sent to an endpoint, by reason."))
    , first_token_seconds(histogram(
          *this->registry, "cleatbeam_first_token_seconds", "From arrival to the first piece of the answer, by class."))
    , answer_seconds(histogram(
          *this->registry, "cleatbeam_answer_seconds", "From arrival to the end of a whole answer, by class."))
    , queued(gauge(*this->registry, "cleatbeam_queued", "Requests waiting, by pool."))
    , running(gauge(*this->registry, "cleatbeam_running", "Requests at endpoints, by pool."))
    , lower_tier_sheds(gauge(*this->registry, "cleatbeam_lower_tier_sheds",
          "Urgent requests refused while lower work beyond its floor was running, by pool."))
    , urgent_beside_lower(gauge(*this->registry, "cleatbeam_urgent_refusals_beside_lower_work",
          "Urgent requests refused while any lower work was running, by pool."))
    , settings_version(
          gauge(*this->registry, "cleatbeam_settings_version", "Version of the settings in force.").Add({}))
    , appends(
          counter(*this->registry, "cleatbeam_log_appends_total", "Appends of fates to the platform's log, by result."))
    , records_dropped(counter(
          *this->registry, "cleatbeam_records_dropped_total", "Decision records overwritten before anyone read them.")
                          .Add({}))
{
    // NOTE: Each reason is exported from the start with 0, so that an alert can detect its first increase.
    for (std::size_t index = 0; index < Core::reason_count; ++index) {
        auto const reason = std::string(Core::to_string(static_cast<Core::Reason>(index)));
        this->refusals.Add({ { "reason", reason } });
        this->retries.Add({ { "reason", reason } });
    }
}

void Metrics::count_outcome(std::string const& request_class, Core::Outcome outcome)
{
    this->outcomes.Add({ { "class", request_class }, { "outcome", std::string(Core::to_string(outcome)) } })
        .Increment();
}

void Metrics::count_refusal(Core::Reason reason)
{
    this->refusals.Add({ { "reason", std::string(Core::to_string(reason)) } }).Increment();
}

void Metrics::count_retry(Core::Reason reason)
{
    this->retries.Add({ { "reason", std::string(Core::to_string(reason)) } }).Increment();
}

void Metrics::count_placement(Core::Reason reason)
{
    this->placements.Add({ { "reason", std::string(Core::to_string(reason)) } }).Increment();
}

void Metrics::observe_first_token(std::string const& request_class, Core::Duration taken)
{
    this->first_token_seconds.Add({ { "class", request_class } }, latency_buckets()).Observe(Core::to_seconds(taken));
}

void Metrics::observe_answer(std::string const& request_class, Core::Duration taken)
{
    this->answer_seconds.Add({ { "class", request_class } }, latency_buckets()).Observe(Core::to_seconds(taken));
}

void Metrics::set_pool(std::string const& pool, std::size_t queued_now, std::size_t running_now, std::uint64_t sheds,
    std::uint64_t beside_lower)
{
    prometheus::Labels const labels { { "pool", pool } };
    this->queued.Add(labels).Set(static_cast<double>(queued_now));
    this->running.Add(labels).Set(static_cast<double>(running_now));
    this->lower_tier_sheds.Add(labels).Set(static_cast<double>(sheds));
    this->urgent_beside_lower.Add(labels).Set(static_cast<double>(beside_lower));
}

void Metrics::set_settings_version(std::uint64_t version)
{
    this->settings_version.Set(static_cast<double>(version));
}

void Metrics::count_append(Platform::AppendResult const& result)
{
    constexpr std::array<char const*, 3> names { "appended", "refused", "unknown" };
    this->appends.Add({ { "result", names[result.index()] } }).Increment();
}

void Metrics::count_records_dropped(std::uint64_t records)
{
    this->records_dropped.Increment(static_cast<double>(records));
}

std::string Metrics::to_text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

}
