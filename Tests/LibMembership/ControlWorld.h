#pragma once

#include <LibMembership/ControlSource.h>
#include <algorithm>
#include <functional>
#include <map>
#include <pcg_random.hpp>

namespace Test {

using Membership::BoxRecord;
using Membership::ControlSource;
using Membership::Duration;
using Membership::Instant;

/// Boxes driven by ControlSource in virtual time: which box uses which relay, which boxes read the store, and the age
/// of each box's data. Responses between boxes take no time; a box that is down sends none.
class ControlWorld {
public:
    static constexpr auto bound = std::chrono::seconds(4);

    ControlWorld(std::size_t domains, std::size_t boxes_each)
    {
        for (std::size_t domain = 0; domain < domains; ++domain) {
            for (std::size_t number = 0; number < boxes_each; ++number) {
                auto const name = "box-" + std::to_string(domain) + "-" + std::to_string(number);
                auto const domain_name = "domain-" + std::to_string(domain);
                constexpr std::uint64_t narrow = 2'500'000;
                constexpr std::uint64_t wide = 25'000'000;
                this->records.push_back({ name, { "10.0.0.1", 7000 }, domain_name, number % 20 == 7 ? wide : narrow });
            }
        }
        for (auto const& record : this->records)
            this->start(record);
    }

    /// Runs the boxes for this long.
    void run(Duration duration)
    {
        constexpr auto step = std::chrono::milliseconds(10);
        for (auto const end = this->now + duration; this->now < end; this->now += step) {
            for (auto& [name, box] : this->boxes)
                this->run(box);
        }
    }

    /// Kills all boxes and restarts them within 0.3 s. The store still lists all of them.
    void restart_all()
    {
        for (auto const& record : this->records)
            this->start(record);
    }

    [[nodiscard]] std::size_t readers() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->boxes, [this](auto const& entry) { return entry.second.source.reads_store(this->now); }));
    }
    [[nodiscard]] std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        names.reserve(this->records.size());
        for (auto const& record : this->records)
            names.push_back(record.name);
        return names;
    }
    /// Age of the oldest data of any running box.
    [[nodiscard]] Duration oldest_age() const
    {
        Duration oldest_age { 0 };
        for (auto const& [name, box] : this->boxes) {
            if (box.is_up)
                oldest_age = std::max(
                    oldest_age, box.confirmed_at ? this->now - *box.confirmed_at : this->now - box.starts_at);
        }
        return oldest_age;
    }
    /// Age of the data of each running box, by name; the time since its start for a box without data.
    [[nodiscard]] std::map<std::string, Duration> ages() const
    {
        std::map<std::string, Duration> ages;
        for (auto const& [name, box] : this->boxes) {
            if (box.is_up)
                ages.emplace(name, this->now - box.confirmed_at.value_or(box.starts_at));
        }
        return ages;
    }
    /// Number of running boxes without data at least this recent.
    [[nodiscard]] std::size_t stale_boxes(Duration recent) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->boxes, [&](auto const& entry) {
            return entry.second.is_up
                && (!entry.second.confirmed_at || this->now - *entry.second.confirmed_at > recent);
        }));
    }
    /// The name of a box that reads the store for others.
    [[nodiscard]] std::string reader() const
    {
        for (auto const& [name, box] : this->boxes) {
            if (box.is_up && box.source.reads_store(this->now))
                return name;
        }
        return "";
    }

    Instant now { std::chrono::seconds(1000) };
    /// Calls that reached the store or were lost on the way: each read calls it for two topics.
    std::size_t calls { 0 };
    /// Whether the store responds to a box.
    std::function<bool(std::string const&)> store_answers = [](std::string const&) { return true; };
    std::function<bool(std::string const&)> is_down = [](std::string const&) { return false; };

private:
    struct Box {
        BoxRecord record;
        ControlSource source;
        Instant starts_at;
        bool is_up { false };
        std::optional<Instant> confirmed_at;
        Instant polls_at;
        Instant reads_at;
        unsigned failures { 0 };
    };

    void start(BoxRecord const& record)
    {
        auto const delay = std::chrono::milliseconds(this->random(300));
        Box box { record, ControlSource(record.name, record.failure_domain, { bound, bound }), this->now + delay, false,
            {}, this->now, this->now, 0 };
        this->boxes.insert_or_assign(record.name, std::move(box));
    }

    void run(Box& box)
    {
        if (this->now < box.starts_at)
            return;
        if (this->is_down(box.record.name)) {
            box.is_up = false;
            return;
        }
        if (!box.is_up) {
            box.is_up = true;
            box.source.update_boxes(this->records, this->now);
        }
        if (this->now >= box.polls_at)
            this->poll(box);
        bool const has_to_read
            = box.confirmed_at ? box.source.reads_store(this->now) : !box.source.awaits_first_answer(this->now);
        if (this->now >= box.reads_at && has_to_read)
            this->read(box);
    }

    void poll(Box& box)
    {
        auto relay = box.source.relay(this->now);
        for (; relay; relay = box.source.relay(this->now)) {
            auto& relay_box = this->boxes.at(relay->name);
            if (!relay_box.is_up) {
                box.source.relay_failed(relay->name, this->now);
                continue;
            }
            relay_box.source.request_received(box.record.failure_domain, this->now);
            if (relay_box.confirmed_at) {
                box.source.relay_answered(relay->name, *relay_box.confirmed_at, this->now);
                box.confirmed_at
                    = std::max(box.confirmed_at.value_or(*relay_box.confirmed_at), *relay_box.confirmed_at);
            } else if (!box.source.awaits_first_answer(this->now)) {
                box.source.relay_failed(relay->name, this->now);
                continue;
            }
            break;
        }
        box.polls_at = this->now + box.source.poll_interval(this->now);
    }

    void read(Box& box)
    {
        constexpr std::size_t topics = 2;
        bool const is_answered = this->store_answers(box.record.name);
        bool const retries_one = box.confirmed_at && box.failures > 0 && box.source.retries_one_topic(this->now);
        this->calls += retries_one && !is_answered ? 1 : topics;
        if (is_answered) {
            box.confirmed_at = this->now;
            box.failures = 0;
            box.source.store_answered();
            box.reads_at = this->now + box.source.read_interval();
            return;
        }
        constexpr auto call_time = std::chrono::milliseconds(500);
        box.source.store_failed(this->now);
        box.reads_at = this->now + call_time + box.source.retry_pause(box.failures++, this->now);
    }

    std::vector<BoxRecord> records;
    std::map<std::string, Box> boxes;
    pcg32 random { 20261202 };
};

}
