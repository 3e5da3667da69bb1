#pragma once

#include "Clients.h"
#include "Crowds.h"
#include <Harness/FaultProxy.h>
#include <Harness/PlatformCluster.h>
#include <array>
#include <pcg_random.hpp>

namespace Soak {

inline constexpr std::array box_names { "b1", "b2", "b3", "b4", "b5" };
inline constexpr std::array server_names { "m1", "m2", "d1", "d2" };

/// The software version of an endpoint: those of a service differ.
[[nodiscard]] std::string version_of(std::string const& server);

/// Faults in addition to those that every play draws.
enum class Play {
    Plain,
    /// The store is sometimes restored from a copy, after which its writers repeat their writes; one box reports usage
    /// to and orders servers from a platform that fails at times.
    CopiesAndLeader,
    /// Endpoints announce rate limits, reject all requests for a time, break streams off inside an event, announce that
    /// they drain, and revoke all of it.
    EndpointReports,
    /// Boxes are cut off from all endpoints while everything else reaches them; endpoints are silent for a second, and
    /// announce that they can't reject many requests.
    CutOff,
    /// Endpoints answer in all styles that the stand-in has: framed oddly, broken off, silent, with bytes too many or
    /// without end.
    OddAnswers,
    /// The store carries out a third of all writes of boxes and endpoints seconds late, and its list of endpoints has
    /// several pages with entries of other writers, which name no endpoint. One endpoint drains, ends and starts again,
    /// time after time; one box reports usage.
    LateWrites,
    /// Crowds hold connections of boxes, send large bodies that they never end, or don't read, at the ports for
    /// clients, for other boxes, and for probes.
    Crowds,
};

/// Real boxes with stand-ins for the platform's store and the endpoints, and the faults that a seed draws for them.
class Site {
public:
    Site(std::uint64_t seed, Play play);

    [[nodiscard]] std::vector<int> client_ports() const;
    /// Adds one fault; earlier ones may still be active.
    void strike();
    /// Checks the calls that the platform accepted: no two different reports of one window, and no token of two boxes.
    void check_leader_calls() const;
    /// Checks that no process of a box took a draining state back, by its log: such a box sends requests to an endpoint
    /// that is about to end.
    void check_draining() const;
    /// Checks that no box has used more memory than it has, by its own account.
    void check_memory() const;
    void heal();
    /// Revokes the second key. Returns when the store acknowledged it.
    Clock::time_point revoke();
    /// Checks that a large configuration comes into force over narrow links to the store without other faults.
    void configure_over_narrow_links();
    [[nodiscard]] int versions() const { return this->version; }

    Harness::PlatformCluster cluster;

private:
    [[nodiscard]] bool has_leader() const;
    /// From now on writes are as late as the platform allows, by a time that is drawn.
    void write_late();
    /// The endpoint drains; a while later its process ends, its entry goes, and a new process starts under its id.
    void strike_leaving_server();
    /// Another writer writes an entry into the list of endpoints, or drops one.
    void strike_other_writer();
    /// A crowd comes to a box, and the one that has been there for longest leaves if there are several.
    void strike_crowds();
    void strike_leader_or_history();
    void strike_endpoint_reports();
    void start_server(std::string const& name);
    void strike_endpoint_links();
    /// A silent endpoint goes on after the time between two strikes, at the latest.
    void thaw_server();
    void start_box(std::size_t index);
    /// Writes up to three versions in a row, some of them large, as soon as the store accepts them.
    void write_series();
    void write_configuration(int routes);
    void wait_in_force() const;
    void thaw(std::size_t index);
    Harness::Fault draw_fault();

    std::uint64_t seed;
    pcg32 random;
    /// Separate generators, so that a seed's faults are the same in all plays.
    pcg32 random_of_play;
    Play play;
    int version { 0 };
    int further_routes { 0 };
    std::vector<std::string> keys { "key", "other" };
    std::array<Harness::FaultProxy, box_names.size()> to_store;
    std::array<Harness::FaultProxy, box_names.size()> to_box;
    std::array<bool, box_names.size()> is_frozen {};
    /// Strikes since the leaving endpoint began to drain; 0 while it doesn't.
    int drained_for { 0 };
    int drains { 0 };
    /// The endpoint that is silent now; empty for none.
    std::string frozen_server;
    Crowds crowds;
};

}
