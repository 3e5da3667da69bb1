#pragma once

#include <cstddef>
#include <list>

namespace Gateway {

class AnswerBuffer;

/// Accounts for the bytes of all answers that a box holds for slow clients, and grants room for reading answers ahead
/// in the order in which it was requested. Without I/O; only for one thread.
class AnswerBufferPool {
public:
    explicit AnswerBufferPool(std::size_t max_bytes)
        : limit(max_bytes)
    {
    }
    AnswerBufferPool(AnswerBufferPool const&) = delete;
    AnswerBufferPool& operator=(AnswerBufferPool const&) = delete;

    void set_max_bytes(std::size_t max_bytes) { this->limit = max_bytes; }
    /// Limit for held and reserved bytes. Pieces that were read without a reservation may exceed it.
    [[nodiscard]] std::size_t max_bytes() const { return this->limit; }
    /// Held and reserved bytes.
    [[nodiscard]] std::size_t held_bytes() const { return this->held; }

private:
    friend class AnswerBuffer;

    [[nodiscard]] bool has_room_for(std::size_t bytes) const;
    void add(std::size_t bytes) { this->held += bytes; }
    /// Grants the room that becomes free to the buffers that wait for it.
    void remove(std::size_t bytes);
    void enqueue(AnswerBuffer& buffer) { this->waiting.push_back(&buffer); }
    void dequeue(AnswerBuffer& buffer) { this->waiting.remove(&buffer); }

    std::size_t limit;
    std::size_t held { 0 };
    /// Buffers that wait for room, the first to be granted it in front.
    std::list<AnswerBuffer*> waiting;
};

}
