#pragma once

#include <Harness/PlatformCluster.h>
#include <LibCore/Time.h>
#include <array>
#include <doctest/doctest.h>

/// Three boxes that know each other. A key is taken away, and the store comes back from a copy of the moment before;
/// the operator writes again when the test says so.
struct RevokedKeySite : Harness::PlatformCluster {
    static constexpr std::array boxes { "b1", "b2", "b3" };
    static constexpr int status_ok = 200;
    /// Within this time after the operator's writing boxes may still serve a key that it took away.
    static constexpr int revoke_bound_milliseconds = 3000;

    RevokedKeySite()
    {
        this->start_server("d1", "desk");
        this->configure(1, { "key", "other" });
        for (auto const* box : boxes)
            this->start(box);
        for (auto const* box : boxes)
            this->wait_ready(box);
        for (auto const* box : boxes)
            Harness::wait_until(std::string(box) + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(boxes.size()); });
    }

    void start(std::string const& box) { this->start_box(box, { 2000, 2000, revoke_bound_milliseconds, true }); }

    void revoke()
    {
        this->revoked_at = Core::monotonic_now();
        this->configure(2, { "other" });
        for (auto const* box : boxes)
            Harness::wait_until(
                std::string(box) + " has the new version", [&] { return this->version_in_force(box) == 2; });
    }

    void wait_until_bound_is_over() const
    {
        Harness::wait_until("no box may serve the revoked key any more", [&] {
            return Core::monotonic_now() - this->revoked_at > std::chrono::milliseconds(revoke_bound_milliseconds);
        });
    }

    /// The store forgets the revocation, and what was written since.
    void lose_revocation() const
    {
        auto const lost
            = std::chrono::duration_cast<std::chrono::milliseconds>(Core::monotonic_now() - this->revoked_at);
        this->restore_store(static_cast<int>(lost.count()) + 1);
    }

    [[nodiscard]] int status(std::string const& box, std::string const& key)
    {
        return this->send(box, "/once/x", "try-" + std::to_string(this->tries++), { { "X-Key", key } }).status;
    }

    /// Tries the revoked key at the boxes until each has asked the store, or others, some times since.
    void try_revoked_key(std::vector<std::string> const& at)
    {
        constexpr int many = 60;
        for (int round = 0; round < many; ++round) {
            for (auto const& box : at) {
                auto const answered = this->status(box, "key");
                CAPTURE(box);
                CAPTURE(round);
                REQUIRE(answered != status_ok);
            }
        }
    }

    void write_again(std::vector<std::string> const& at)
    {
        this->configure(2, { "other" });
        for (auto const& box : at) {
            Harness::wait_until(
                box + " has the version written again", [&] { return this->version_in_force(box) == 2; });
            Harness::wait_until(box + " serves the other key", [&] { return this->status(box, "other") == status_ok; });
        }
        this->try_revoked_key(at);
    }

    Core::Instant revoked_at;
    int tries { 0 };
};
