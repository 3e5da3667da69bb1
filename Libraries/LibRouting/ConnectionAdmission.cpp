#include <LibRouting/ConnectionAdmission.h>

namespace Routing {

bool ConnectionAdmission::may_take(BoxBacklog const& backlog, Instant now)
{
    bool const keeps_up = backlog.loop_lag < usual_lag;
    auto const limit = backlog.loop_lag < max_lag ? max_starting : max_starting_when_behind;
    bool const has_room = backlog.starting_connections < limit;
    if (!keeps_up && !has_room && now - this->last_taken < max_pause)
        return false;
    this->last_taken = now;
    return true;
}

}
