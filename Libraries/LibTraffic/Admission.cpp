#include <LibTraffic/Admission.h>

namespace Traffic {

std::optional<Reason> BoundedAdmission::refusal_reason(AdmissionQuery const& query) const
{
    if (query.queued >= max_queue_length)
        return Reason::BacklogTooLong;
    return {};
}

std::optional<Reason> PredictiveAdmission::refusal_reason(AdmissionQuery const& query) const
{
    if (query.queued >= max_queue_length)
        return Reason::BacklogTooLong;
    if (query.predicted_wait.count() == 0)
        return {};
    if (!query.settings.late_answer_useful) {
        auto const slack = slack_of(query.request, query.settings, query.estimates, query.now);
        return query.predicted_wait > slack ? std::optional { Reason::TargetOutOfReach } : std::nullopt;
    }
    auto const expected_end = query.now + query.predicted_wait + query.estimates.median_duration();
    return expected_end > query.request.patience_end ? std::optional { Reason::BacklogTooLong } : std::nullopt;
}

}
