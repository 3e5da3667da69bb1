#pragma once

#include <Harness/Crowd.h>
#include <Harness/ProcessWatch.h>

#include <cstdint>
#include <list>

namespace Soak {

/// Crowds of clients that don't behave, a few at a time.
class Crowds {
public:
    /// Number of kinds of crowds.
    static constexpr std::uint32_t kinds = 6;

    /// Has a crowd of a kind below `kinds` connect to a port. The oldest crowd leaves if there are too many.
    void add(int port, std::uint32_t kind);
    /// Has all crowds leave.
    void end() { this->crowds.clear(); }
    [[nodiscard]] int opened() const { return this->count; }

private:
    static constexpr std::size_t max_crowds = 3;
    static constexpr int crowd_size = 40;

    std::list<Harness::Crowd> crowds;
    int count { 0 };
};

}
