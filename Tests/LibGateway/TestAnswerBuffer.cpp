// Guards against answers for slow clients that take more memory than their limits allow, that lose or reorder bytes,
// and that are never read on although there is room again.

#include <TestMain.h>

#include <LibGateway/AnswerBuffer.h>

#include <vector>

using namespace Gateway;
using Room = AnswerBuffer::Room;

namespace {

constexpr std::size_t piece_bytes = 8 * 1024;

/// A buffer that counts how often it was granted room.
struct CountingBuffer {
    explicit CountingBuffer(std::shared_ptr<AnswerBufferPool> pool)
        : buffer(std::move(pool), [this] { ++this->granted; })
    {
    }
    /// Reads on, by pieces of `piece_bytes`, until a limit is reached.
    Room fill()
    {
        for (;;) {
            auto const room = this->buffer.reserve(piece_bytes);
            if (room != Room::Reserved)
                return room;
            this->buffer.append(std::string(piece_bytes, 'x'));
            this->buffer.release_reservation();
        }
    }

    int granted { 0 };
    AnswerBuffer buffer;
};

std::string drain(AnswerBuffer& buffer)
{
    std::string all;
    while (auto const block = buffer.take()) {
        all += *block;
        buffer.written();
    }
    return all;
}

std::shared_ptr<AnswerBufferPool> pool_of(std::size_t bytes)
{
    return std::make_shared<AnswerBufferPool>(bytes);
}

}

TEST_CASE("held pieces leave in their order, and nothing is counted once all are written")
{
    auto const pool = pool_of(1U << 20U);
    CountingBuffer answer(pool);
    std::string expected;
    for (std::size_t index = 0; index < 2000; ++index) {
        auto const piece = std::string(index % 700, static_cast<char>('a' + index % 26));
        expected += piece;
        answer.buffer.append(piece);
    }
    CHECK(pool->held_bytes() == answer.buffer.held_bytes());
    CHECK(answer.buffer.held_bytes() >= expected.size());
    CHECK(drain(answer.buffer) == expected);
    CHECK(answer.buffer.is_empty());
    CHECK(pool->held_bytes() == 0);
}

TEST_CASE("pieces that arrive while a block is written leave after it")
{
    CountingBuffer answer(pool_of(1U << 20U));
    answer.buffer.append("one ");
    auto const block = answer.buffer.take();
    REQUIRE(block);
    answer.buffer.append("two ");
    answer.buffer.append("three");
    CHECK(*block == "one ");
    CHECK_FALSE(answer.buffer.is_empty());
    answer.buffer.written();
    CHECK(drain(answer.buffer) == "two three");
}

TEST_CASE("many short events take no more than twice their size in memory")
{
    CountingBuffer answer(pool_of(1U << 20U));
    constexpr std::size_t events = 2000;
    std::string const event = "22\r\nid: 12345\ndata: some tokens\n\n\r\n";
    for (std::size_t index = 0; index < events; ++index)
        answer.buffer.append(event);
    CHECK(answer.buffer.held_bytes() <= 2 * events * event.size());
}

TEST_CASE("an answer stops at its limit, others go on, and it goes on once its client has taken a block")
{
    auto const pool = pool_of(16U << 20U);
    CountingBuffer answer(pool);
    CountingBuffer other(pool);
    CHECK(answer.fill() == Room::AnswerFull);
    CHECK(answer.buffer.held_bytes() <= AnswerBuffer::max_answer_bytes);
    CHECK(answer.buffer.held_bytes() > AnswerBuffer::max_answer_bytes - 2 * piece_bytes);
    CHECK(other.buffer.reserve(piece_bytes) == Room::Reserved);
    while (answer.buffer.reserve(piece_bytes) != Room::Reserved) {
        REQUIRE(answer.buffer.take());
        answer.buffer.written();
    }
    CHECK(answer.buffer.held_bytes() >= AnswerBuffer::max_answer_bytes - 8 * piece_bytes);
}

TEST_CASE("no number of answers takes more than the limit of the box")
{
    constexpr std::size_t limit = 15U << 20U;
    auto const pool = pool_of(limit);
    std::vector<std::unique_ptr<CountingBuffer>> answers;
    for (int index = 0; index < 500; ++index) {
        answers.push_back(std::make_unique<CountingBuffer>(pool));
        answers.back()->fill();
        CHECK(pool->held_bytes() <= limit);
    }
    CHECK(pool->held_bytes() > limit - 2 * piece_bytes);
    answers.clear();
    CHECK(pool->held_bytes() == 0);
}

TEST_CASE("room that becomes free is granted in the order of the requests, and never to more than it is enough for")
{
    auto const pool = pool_of(4 * piece_bytes);
    CountingBuffer holder(pool);
    CountingBuffer first(pool);
    CountingBuffer second(pool);
    CHECK(holder.fill() == Room::BoxFull);
    CHECK(first.buffer.reserve(piece_bytes) == Room::BoxFull);
    CHECK(second.buffer.reserve(piece_bytes) == Room::BoxFull);
    // The holder waits as well, in front of the others. It no longer does once it stops reading.
    holder.buffer.release_reservation();
    REQUIRE(holder.buffer.take());
    holder.buffer.written();
    CHECK(first.granted == 1);
    CHECK(first.buffer.reserve(piece_bytes) == Room::Reserved);
    CHECK(pool->held_bytes() <= pool->max_bytes());
    holder.buffer.discard();
    CHECK(second.granted == 1);
    CHECK(second.buffer.reserve(piece_bytes) == Room::Reserved);
}

TEST_CASE("a buffer that ends while it waits, or with room that it was granted, leaves the room to the next")
{
    auto const pool = pool_of(piece_bytes);
    auto holder = std::make_unique<CountingBuffer>(pool);
    auto first = std::make_unique<CountingBuffer>(pool);
    auto second = std::make_unique<CountingBuffer>(pool);
    CountingBuffer third(pool);
    CHECK(holder->buffer.reserve(piece_bytes) == Room::Reserved);
    CHECK(first->buffer.reserve(piece_bytes) == Room::BoxFull);
    CHECK(second->buffer.reserve(piece_bytes) == Room::BoxFull);
    CHECK(third.buffer.reserve(piece_bytes) == Room::BoxFull);
    first.reset();
    holder.reset();
    CHECK(second->granted == 1);
    CHECK(third.granted == 0);
    second.reset();
    CHECK(third.granted == 1);
    CHECK(pool->held_bytes() == piece_bytes);
}

TEST_CASE("a block that is being written is counted until it is freed, also after the rest was discarded")
{
    auto const pool = pool_of(1U << 20U);
    CountingBuffer answer(pool);
    answer.buffer.append(std::string(piece_bytes, 'x'));
    answer.buffer.append(std::string(2 * piece_bytes, 'y'));
    auto const block = answer.buffer.take();
    REQUIRE(block);
    CHECK(answer.buffer.discard());
    CHECK(answer.buffer.held_bytes() == block->capacity());
    CHECK_FALSE(answer.buffer.is_empty());
    answer.buffer.written();
    CHECK(answer.buffer.is_empty());
    CHECK(pool->held_bytes() == 0);
    CHECK_FALSE(answer.buffer.discard());
}

TEST_CASE("without memory for answers nothing is read ahead, and pieces that were read are kept")
{
    CountingBuffer answer(pool_of(0));
    CHECK(answer.buffer.reserve(piece_bytes) == Room::BoxFull);
    answer.buffer.append("piece");
    CHECK(drain(answer.buffer) == "piece");
}
