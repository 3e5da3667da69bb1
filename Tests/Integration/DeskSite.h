#pragma once

#include <Harness/PlatformCluster.h>
#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Three boxes before two servers of a plain service, the first of which can say something of itself in its answers.
struct DeskSite : Harness::PlatformCluster {
    static constexpr std::array boxes { "b1", "b2", "b3" };
    static constexpr auto reporter = "d1";

    /// `drain_milliseconds` is how long an endpoint that leaves may get requests.
    explicit DeskSite(int drain_milliseconds = 8000)
        : drain_milliseconds(drain_milliseconds)
    {
        this->start_server(reporter, "desk");
        this->start_server("d2", "desk");
        this->configure(1, { "key" });
        for (auto const* box : boxes)
            this->start_one_box(box);
        for (auto const* box : boxes) {
            this->wait_ready(box);
            Harness::wait_until(std::string(box) + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(boxes.size()); });
        }
    }

    void start_one_box(std::string const& box)
    {
        this->start_box(box, { 8000, this->drain_milliseconds, 20000, true });
    }

    /// Has the reporter take this up; its paths stand in the stand-in.
    void have_reporter(std::string const& path) const { static_cast<void>(this->get(reporter, path)); }

    /// Sends one request, which has to be served; whether the reporter ran it.
    bool runs_at_reporter(char const* box)
    {
        auto const attempt = "a" + std::to_string(this->sent++);
        CHECK(this->send(box, "/once/x", attempt).status == 200);
        return this->runs(attempt, { reporter }) == 1;
    }

    /// Sends at all boxes until each has had an answer from the reporter.
    void reach_reporter_from_all()
    {
        for (auto const* box : boxes)
            Harness::wait_until(std::string(box) + " has an answer", [&] { return this->runs_at_reporter(box); });
    }

    /// When requests reached the reporter, in milliseconds of its own clock.
    [[nodiscard]] std::vector<double> arrivals() const
    {
        return nlohmann::json::parse(this->get(reporter, "/arrivals"));
    }

    int drain_milliseconds;
    int sent { 0 };
};
