#pragma once

#include <LibCore/Time.h>

#include <cmath>

namespace Routing {

/// A sum whose contributions decay exponentially with the given half-life.
class DecayingSum {
public:
    explicit DecayingSum(Core::Duration half_life)
        : half_life(half_life)
    {
    }

    void add(double contribution, Core::Instant now) { this->set(this->value(now) + contribution, now); }
    void set(double replacement, Core::Instant now)
    {
        this->sum = replacement;
        this->at = now;
    }
    [[nodiscard]] double value(Core::Instant now) const
    {
        return this->sum * std::exp2(-Core::to_seconds(now - this->at) / Core::to_seconds(this->half_life));
    }

private:
    Core::Duration half_life;
    double sum { 0 };
    Core::Instant at;
};

}
