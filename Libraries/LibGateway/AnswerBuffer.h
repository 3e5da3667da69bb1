#pragma once

#include <LibGateway/AnswerBufferPool.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// Memory beside the text itself, which holds a few bytes.
[[nodiscard]] inline std::size_t allocated_bytes(std::string const& text)
{
    static std::size_t const inline_bytes = std::string().capacity();
    return text.capacity() > inline_bytes ? text.capacity() : 0;
}

/// The part of one answer that was read from its endpoint and that the client has not taken yet, within a limit for the
/// answer and one for all answers of the box. Counts allocated memory. Without I/O; only for one thread.
///
/// The reader of the answer calls reserve() before it reads a further piece, and append() with what the client does not
/// take at once. The writer takes block after block with take(), and calls written() when the block is freed.
class AnswerBuffer {
public:
    /// Whether a further piece of the answer may be read.
    enum class Room {
        Reserved,
        /// The limit of the answer is reached. There is room again once the client has taken a block.
        AnswerFull,
        /// The limit of the box is reached. The buffer calls `on_room` once it has reserved the room.
        BoxFull,
    };

    /// Limit for one answer.
    static constexpr std::size_t max_answer_bytes = 1024 * 1024;

    /// `on_room` must not call this buffer or its pool.
    AnswerBuffer(std::shared_ptr<AnswerBufferPool> pool, std::function<void()> on_room);
    ~AnswerBuffer();
    AnswerBuffer(AnswerBuffer const&) = delete;
    AnswerBuffer& operator=(AnswerBuffer const&) = delete;

    /// Reserves room for reading a piece of at most that many bytes, and keeps it until release_reservation().
    [[nodiscard]] Room reserve(std::size_t bytes);
    void release_reservation();
    /// Accounts for this much memory of bytes that were received and can't be forwarded yet, in place of what was
    /// accounted for so far. Returns false, and changes nothing, if the box has no room for it; a little always fits.
    [[nodiscard]] bool try_hold_back(std::size_t bytes);
    /// Appends to what the client has to take. Never refused: the caller has read the bytes already.
    void append(std::string bytes);
    /// Removes the first block for writing; nothing if there is none. It is counted until written().
    [[nodiscard]] std::optional<std::string> take();
    void written();
    /// Drops all blocks that are not being written. Returns whether there were any.
    bool discard();

    /// Whether nothing is held, and nothing is being written.
    [[nodiscard]] bool is_empty() const { return this->blocks.empty() && this->block_in_write_bytes == 0; }
    /// Memory of the held blocks and of the one that is being written, in bytes.
    [[nodiscard]] std::size_t held_bytes() const { return this->held; }

private:
    friend class AnswerBufferPool;

    /// Short pieces are joined up to this size, since each block has an allocation and a write of its own.
    static constexpr std::size_t max_joined_bytes = 16 * 1024;
    /// So much of an answer is held back even if the box has no room, as usual events are whole within two pieces.
    static constexpr std::size_t always_held_back_bytes = 16 * 1024;

    void grant();
    void count(std::size_t bytes);
    void discount(std::size_t bytes);

    std::shared_ptr<AnswerBufferPool> pool;
    std::function<void()> on_room;
    std::list<std::string> blocks;
    std::size_t held { 0 };
    std::size_t block_in_write_bytes { 0 };
    std::size_t reserved { 0 };
    std::size_t held_back { 0 };
    /// What the buffer waits for in the pool; 0 if it does not wait.
    std::size_t wanted { 0 };
};

}
