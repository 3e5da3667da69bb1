#include <LibTraffic/EndpointHealth.h>

#include <algorithm>

namespace Traffic {

void EndpointHealth::record_success()
{
    *this = EndpointHealth {};
}

void EndpointHealth::record_failure(Core::Instant now)
{
    ++this->consecutive_failures;
    if (this->consecutive_failures < failures_before_ejection)
        return;
    this->ejection = std::clamp(this->ejection * 2, min_ejection, max_ejection);
    this->ejected_until = now + this->ejection;
}

bool EndpointHealth::accepts_work(Core::Instant now, int own_running) const
{
    if (this->is_ejected(now))
        return false;
    bool const is_probing = this->consecutive_failures >= failures_before_ejection;
    return !is_probing || own_running == 0;
}

}
