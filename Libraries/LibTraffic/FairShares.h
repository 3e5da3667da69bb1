#pragma once

#include <LibTraffic/TrafficTypes.h>

#include <map>

namespace Traffic {

/// Service received by each client account in each tier: seconds of slot time divided by the account's weight. An
/// account far ahead of the least served one waits, so that a burst of one account delays only its own requests.
class FairShares {
public:
    /// Called when an account with no queued requests queues one. It starts level with the least served account, so
    /// that idle time earns no credit.
    void raise_to_least_served(TierId tier, AccountId account, double least_served);
    /// Called when no request of the tier is queued. Past service then no longer counts against an account.
    void reset(TierId tier);
    void charge(TierId tier, AccountId account, double seconds, double weight);
    [[nodiscard]] double served(TierId tier, AccountId account) const;

private:
    std::map<std::pair<TierId, AccountId>, double> served_seconds;
};

/// Credits for class floors. A floor is a small share of a pool's work that a class gets whenever it has requests
/// queued.
class FloorLedger {
public:
    /// Credits a class that has queued requests with its floor share of `seconds` of dispatched work.
    void earn(ClassId earning_class, double floor, double seconds, double mean_seconds);
    [[nodiscard]] bool is_due(ClassId request_class, double mean_seconds) const;
    void spend(ClassId request_class, double seconds);

private:
    static constexpr double max_saved_requests = 2.0;

    std::map<ClassId, double> credit_seconds;
};

/// Limits retries to a share of requests, so that retries cannot amplify the load of a failure.
class RetryBudget {
public:
    void add_request(double share);
    [[nodiscard]] bool try_spend();

private:
    static constexpr double max_tokens = 10.0;

    double tokens { max_tokens };
};

}
