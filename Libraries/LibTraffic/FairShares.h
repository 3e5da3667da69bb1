#pragma once

#include <LibTraffic/TrafficTypes.h>

#include <map>

namespace Traffic {

/// Service received by each account in each tier, in seconds of slot time over the account's weight. An account far
/// ahead of the least served one waits, so that a burst of one account queues behind itself.
class FairShares {
public:
    /// An account that had nothing waiting starts level with the least served one, not with a credit saved up.
    void raise_to_least_served(TierId tier, AccountId account, double least_served);
    /// Nothing of the tier waits: who was served more in the past owes nothing to who comes next.
    void reset(TierId tier);
    void charge(TierId tier, AccountId account, double seconds, double weight);
    [[nodiscard]] double served(TierId tier, AccountId account) const;

private:
    std::map<std::pair<TierId, AccountId>, double> served_seconds;
};

/// The floors of the classes: a small share of a pool's work that a class gets whenever it has work waiting.
class FloorLedger {
public:
    /// `seconds` of work were dispatched; each waiting class with a floor earns its share of it.
    void earn(ClassId earning_class, double floor, double seconds, double mean_seconds);
    [[nodiscard]] bool is_due(ClassId request_class, double mean_seconds) const;
    void spend(ClassId request_class, double seconds);

private:
    static constexpr double max_saved_requests = 2.0;

    std::map<ClassId, double> credit_seconds;
};

/// Retries are a bounded share of requests, so that they can't multiply a failure's load.
class RetryBudget {
public:
    void add_request(double share);
    [[nodiscard]] bool try_spend();

private:
    static constexpr double max_tokens = 10.0;

    double tokens { max_tokens };
};

}
