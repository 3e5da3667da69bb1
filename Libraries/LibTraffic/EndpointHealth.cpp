#include <LibTraffic/EndpointHealth.h>

#include <algorithm>

namespace Traffic {

void EndpointHealth::succeeded()
{
    *this = EndpointHealth {};
}

void EndpointHealth::failed(Core::Instant now)
{
    ++this->consecutive_failures;
    if (this->consecutive_failures < failures_before_ejection)
        return;
    this->ejection = std::clamp(this->ejection * 2, first_ejection, longest_ejection);
    this->ejected_until = now + this->ejection;
}

bool EndpointHealth::takes_work(Core::Instant now, int running_here) const
{
    if (this->ejected(now))
        return false;
    bool const is_probing = this->consecutive_failures >= failures_before_ejection;
    return !is_probing || running_here == 0;
}

}
