#pragma once

#include <Harness/Cluster.h>
#include <Harness/Crowd.h>
#include <Harness/ProcessWatch.h>
#include <LibPlatform/Digest.h>
#include <doctest/doctest.h>
#include <fmt/format.h>

/// One box (`cleatbeam serve`) of little memory and few threads before one engine, and what must hold beside any crowd.
struct ServeSite : Harness::Cluster {
    static constexpr int memory_megabytes = 192;
    static constexpr int threads = 16;
    static constexpr std::size_t max_body_bytes = 1024UL * 1024;
    static constexpr std::size_t max_descriptors = 1024;

    explicit ServeSite(int token_milliseconds = 5)
    {
        Harness::limit_sanitizer_memory();
        this->start_standin("platform", "platform");
        // With room for all requests of a crowd, so that only the box is short of anything.
        this->start_standin("engine", "endpoint",
            { "--token_ms=" + std::to_string(token_milliseconds), "--batch_slope=0", "--slots=512" });
        this->start_box("one", threads,
            "largest_body_bytes: " + std::to_string(max_body_bytes) + "\nmemory_mb: " + std::to_string(memory_megabytes)
                + "\n");
        this->publish("tiers: [urgent, session, background]\nclasses:\n  branches:\n    lookup: {set: {tier: urgent, "
                      "target: 2s, target_kind: "
                      "first-token, patience: 20s, repeatable: true}}\naccounts:\n  branches:\n    hall: {set: "
                      "{classes: [lookup], key_hashes: ["
            + Platform::sha256_hex("secret")
            + "]}}\nendpoints:\n  set: {kind: model, pool: models, models: [m], failure_domain: hall-1, slots: 512}\n"
              "  branches:\n    engine: {set: {address: '127.0.0.1:"
            + std::to_string(this->port("engine")) + "'}}\nrouting: {report_interval: 50ms}\n");
        this->watch = std::make_unique<Harness::ProcessWatch>(this->process("one").process_id());
    }

    /// Checks that the box lives within its memory and descriptors.
    void check_limits()
    {
        auto const max_memory = this->watch->max_memory_bytes(memory_megabytes * 1000UL * 1000UL);
        MESSAGE("at most " << this->watch->peak_memory_bytes() / 1000000 << " MB, " << this->watch->peak_descriptors()
                           << " descriptors");
        CHECK_FALSE(this->process("one").has_ended());
        CHECK(this->watch->peak_memory_bytes() <= max_memory);
        CHECK(this->watch->peak_descriptors() <= max_descriptors);
    }

    /// Checks that an ordinary request on a new connection is answered at its first attempt.
    void check_ordinary_request() const
    {
        auto const reply = this->post("one", "/v1/chat/completions",
            R"({"model":"m","messages":[{"role":"user","content":"hello"}],"standin":{"token":"t","length":4}})",
            { { "Authorization", "Bearer secret" } });
        CHECK(reply.status == 200);
    }

    std::unique_ptr<Harness::ProcessWatch> watch;
};

/// The head of a call of the model. `framing` tells how its body ends.
inline std::string model_head(std::string const& framing)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n" + framing + "\r\n\r\n";
}

/// A call of the model with its length.
inline std::string model_call(std::string const& body)
{
    return model_head("Content-Length: " + std::to_string(body.size())) + body;
}

/// A body of at most that many bytes whose messages are this element again and again.
inline std::string body_of_messages(std::string const& element, std::size_t bytes)
{
    std::string body = R"({"model":"m","standin":{"token":"t","length":4},"messages":[)" + element;
    while (body.size() + element.size() + 3 <= bytes)
        body += "," + element;
    return body + "]}";
}
