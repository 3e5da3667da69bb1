#include <LibGateway/AnswerBufferPool.h>

#include <LibCore/Verify.h>
#include <LibGateway/AnswerBuffer.h>

namespace Gateway {

bool AnswerBufferPool::has_room_for(std::size_t bytes) const
{
    return this->held <= this->limit && bytes <= this->limit - this->held;
}

void AnswerBufferPool::remove(std::size_t bytes)
{
    VERIFY(bytes <= this->held);
    this->held -= bytes;
    while (!this->waiting.empty() && this->has_room_for(this->waiting.front()->wanted)) {
        auto& next = *this->waiting.front();
        this->waiting.pop_front();
        next.grant();
    }
}

}
