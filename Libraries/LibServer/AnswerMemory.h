#pragma once

#include <atomic>
#include <cstddef>

namespace Server {

/// Counts the bytes of answers that are held for clients, of all requests together. Safe to use from several threads.
class AnswerMemory {
public:
    explicit AnswerMemory(std::size_t max_bytes)
        : limit(max_bytes)
    {
    }

    void add(std::size_t bytes) { this->held += bytes; }
    void remove(std::size_t bytes) { this->held -= bytes; }
    [[nodiscard]] std::size_t held_bytes() const { return this->held; }
    [[nodiscard]] bool is_full() const { return this->held >= this->limit; }
    /// Streams can wait for their clients, so they leave a quarter to answers that are collected whole, which can't.
    [[nodiscard]] bool is_full_for_streams() const { return this->held >= this->limit - this->limit / 4; }

private:
    std::size_t limit;
    std::atomic<std::size_t> held { 0 };
};

}
