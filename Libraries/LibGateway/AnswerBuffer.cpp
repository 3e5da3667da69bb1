#include <LibGateway/AnswerBuffer.h>

#include <LibCore/Verify.h>

#include <utility>

namespace Gateway {

AnswerBuffer::AnswerBuffer(std::shared_ptr<AnswerBufferPool> pool, std::function<void()> on_room)
    : pool(std::move(pool))
    , on_room(std::move(on_room))
{
}

AnswerBuffer::~AnswerBuffer()
{
    this->release_reservation();
    this->discount(this->held);
    this->pool->remove(this->held_back);
}

AnswerBuffer::Room AnswerBuffer::reserve(std::size_t bytes)
{
    VERIFY(bytes > 0);
    if (this->reserved >= bytes)
        return Room::Reserved;
    // NOTE: A new request would lose the place among the buffers that wait.
    if (this->wanted >= bytes)
        return Room::BoxFull;
    this->release_reservation();
    if (this->held + bytes > max_answer_bytes)
        return Room::AnswerFull;
    // NOTE: Others that wait for room come first, even if their pieces are longer.
    if (!this->pool->waiting.empty() || !this->pool->has_room_for(bytes)) {
        this->wanted = bytes;
        this->pool->enqueue(*this);
        return Room::BoxFull;
    }
    this->pool->add(bytes);
    this->reserved = bytes;
    return Room::Reserved;
}

void AnswerBuffer::release_reservation()
{
    if (this->wanted == 0 && this->reserved == 0)
        return;
    if (std::exchange(this->wanted, 0) > 0)
        this->pool->dequeue(*this);
    this->pool->remove(std::exchange(this->reserved, 0));
}

bool AnswerBuffer::try_hold_back(std::size_t bytes)
{
    if (bytes > this->held_back) {
        auto const more = bytes - this->held_back;
        if (bytes > always_held_back_bytes && !this->pool->has_room_for(more))
            return false;
        this->pool->add(more);
    } else {
        this->pool->remove(this->held_back - bytes);
    }
    this->held_back = bytes;
    return true;
}

void AnswerBuffer::append(std::string bytes)
{
    if (bytes.empty())
        return;
    bool const is_joined = !this->blocks.empty() && this->blocks.back().size() + bytes.size() <= max_joined_bytes;
    if (!is_joined) {
        this->count(bytes.capacity());
        this->blocks.push_back(std::move(bytes));
        return;
    }
    auto& last = this->blocks.back();
    auto const before = last.capacity();
    last += bytes;
    this->count(last.capacity() - before);
}

std::optional<std::string> AnswerBuffer::take()
{
    VERIFY(this->block_in_write_bytes == 0);
    if (this->blocks.empty())
        return {};
    auto block = std::move(this->blocks.front());
    this->blocks.pop_front();
    this->block_in_write_bytes = block.capacity();
    return block;
}

void AnswerBuffer::written()
{
    this->discount(std::exchange(this->block_in_write_bytes, 0));
}

bool AnswerBuffer::discard()
{
    bool const had_blocks = !this->blocks.empty();
    this->blocks.clear();
    this->discount(this->held - this->block_in_write_bytes);
    return had_blocks;
}

void AnswerBuffer::grant()
{
    this->reserved = std::exchange(this->wanted, 0);
    this->pool->add(this->reserved);
    this->on_room();
}

void AnswerBuffer::count(std::size_t bytes)
{
    this->held += bytes;
    this->pool->add(bytes);
}

void AnswerBuffer::discount(std::size_t bytes)
{
    this->held -= bytes;
    this->pool->remove(bytes);
}

}
