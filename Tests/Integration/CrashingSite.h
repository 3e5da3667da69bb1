#pragma once

#include <Harness/PlatformCluster.h>
#include <array>
#include <atomic>
#include <string>
#include <vector>

/// Three boxes before ten servers of a plain service, each of which ends when it runs one client's harmful request.
struct CrashingSite : Harness::PlatformCluster {
    static constexpr std::array boxes { "b1", "b2", "b3" };
    static constexpr int server_count = 10;
    /// Endpoints that may end under one request before it is known to be the cause.
    static constexpr int tolerated_ends = 3;
    /// Sends that may have begun before all boxes know.
    static constexpr int tolerated_sends = 3;

    explicit CrashingSite(std::vector<std::string> const& flags = {})
    {
        std::vector<std::string> all { "--crash_on=harmful" };
        all.insert(all.end(), flags.begin(), flags.end());
        for (int number = 1; number <= server_count; ++number)
            this->start_server("d" + std::to_string(number), "desk", all);
        this->configure(1, { "key" });
        this->start_boxes();
    }

    void start_boxes()
    {
        for (auto const* box : boxes)
            this->start_box(box, { 8000, 8000, 20000, true });
        this->wait_for_boxes();
    }

    void wait_for_boxes() const
    {
        for (auto const* box : boxes) {
            this->wait_ready(box);
            Harness::wait_until(std::string(box) + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(boxes.size()); });
        }
    }

    /// The client sends its request at the boxes in turn; what it is told. Several threads may call it.
    Harness::Reply try_harmful(std::string const& path)
    {
        auto const number = this->tries++;
        return this->send_body(boxes.at(number % boxes.size()), path, "harmful-" + std::to_string(number), "harmful");
    }

    std::atomic<std::size_t> tries { 0 };
};
