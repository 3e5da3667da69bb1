#pragma once

#include <Harness/Crowd.h>
#include <Harness/PlatformCluster.h>
#include <Harness/ProcessWatch.h>
#include <doctest/doctest.h>
#include <fmt/format.h>

/// A box of little memory before one endpoint for each kind of route, and what must hold beside any crowd.
struct CrowdSite : Harness::PlatformCluster {
    static constexpr int memory_megabytes = 48;
    static constexpr int max_descriptors = 400;
    static constexpr auto box = "b1";

    /// `has_peers` is whether other boxes may connect; `work_milliseconds` how long a plain call takes.
    explicit CrowdSite(bool has_peers = false, int work_milliseconds = 5)
    {
        Harness::limit_sanitizer_memory();
        this->start_server("m1", "model");
        this->start_server("d1", "desk", { "--work_ms=" + std::to_string(work_milliseconds) });
        this->configure(1, { "key" });
        Harness::BoxBounds bounds { 8000, 8000, 20000 };
        bounds.has_peers = has_peers;
        bounds.memory_megabytes = memory_megabytes;
        bounds.max_descriptors = max_descriptors;
        this->start_box(box, bounds);
        this->wait_ready(box);
        this->watch = std::make_unique<Harness::ProcessWatch>(this->process(box).process_id());
    }

    /// Checks that the box lives within its memory and descriptors.
    void check_limits()
    {
        auto const max_memory = this->watch->max_memory_bytes(memory_megabytes * 1000UL * 1000UL);
        MESSAGE("at most " << this->watch->peak_memory_bytes() / 1000000 << " MB, " << this->watch->peak_descriptors()
                           << " descriptors");
        CHECK_FALSE(this->process(box).has_ended());
        CHECK(this->watch->peak_memory_bytes() <= max_memory);
        CHECK(this->watch->peak_descriptors() <= max_descriptors);
    }

    /// Checks that an ordinary request on a new connection is answered at its first attempt.
    void check_ordinary_request()
    {
        CHECK(this->send(box, "/stream/x", "ordinary-" + std::to_string(this->ordinary++),
                      { { "X-Standin-Events", "3" }, { "X-Deadline-Ms", "10000" } })
                  .status
            == 200);
    }

    std::unique_ptr<Harness::ProcessWatch> watch;
    int ordinary { 0 };
};

/// The head of a request on that path, which is followed by a body of `length` bytes.
inline std::string head_with_length(std::string const& path, std::size_t length, std::string const& attempt)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: 20000\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// The head of a request on that path, which is followed by chunks.
inline std::string head_with_chunks(std::string const& path, std::string const& attempt)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// A chunked body of that many bytes, without the last chunk.
inline std::string chunks(std::size_t bytes, std::size_t chunk_bytes = 1000)
{
    auto const chunk = fmt::format("{:x}\r\n{}\r\n", chunk_bytes, std::string(chunk_bytes, 'c'));
    std::string text;
    for (std::size_t sent = 0; sent + chunk_bytes <= bytes; sent += chunk_bytes)
        text += chunk;
    return text;
}

/// The largest body that clients may send.
constexpr std::size_t max_body_bytes = 4UL * 1024 * 1024;
