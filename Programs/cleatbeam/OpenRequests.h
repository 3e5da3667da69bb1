#pragma once

#include "LogWindow.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

/// A request that was placed and whose end has not been read yet.
struct OpenRequest {
    /// Name of the client account; nothing if no line told it.
    std::optional<std::string> account;
    /// Whether it was placed within the period.
    bool began_in_window { false };

    bool operator==(OpenRequest const&) const = default;
};

/// Requests by id whose end has not been read yet. Each is dropped once its time is over; beyond a limit, the one whose
/// time is over first.
class OpenRequests {
public:
    explicit OpenRequests(std::size_t limit = max_requests)
        : limit(limit)
    {
    }

    /// Adds the request, or extends its time if it is there. It is dropped after `expires`.
    void begin(std::string const& id, LogTime expires, OpenRequest request);
    /// Removes the request and returns it, if it was there.
    std::optional<OpenRequest> end(std::string const& id);
    /// Drops the requests whose time was over before `now`.
    void drop_expired(LogTime now);
    /// Drops all requests.
    void drop_all() { this->drop_until(LogTime::max()); }

    [[nodiscard]] std::size_t size() const { return this->requests.size(); }
    /// Requests that began in the period and were dropped, since no line told their end in time.
    [[nodiscard]] std::uint64_t lost() const { return this->lost_requests; }
    /// Requests that began in the period and were dropped because there were too many.
    [[nodiscard]] std::uint64_t forgotten() const { return this->forgotten_requests; }

    /// About 40 MB. A request takes seconds, so this covers tens of thousands of requests per second.
    static constexpr std::size_t max_requests = 200'000;

private:
    struct Entry {
        LogTime expires;
        OpenRequest request;
    };
    using Requests = std::unordered_map<std::uint64_t, Entry>;

    void drop_until(LogTime time);
    void erase(Requests::iterator entry);

    std::size_t limit;
    /// By a hash of the id, which bounds the memory that an id takes.
    Requests requests;
    std::set<std::pair<LogTime, std::uint64_t>> by_expiry;
    std::uint64_t lost_requests { 0 };
    std::uint64_t forgotten_requests { 0 };
};
