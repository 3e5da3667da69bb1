#include <LibServer/CallerAnswer.h>

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Server {

namespace {

using Core::Outcome;
using Core::Reason;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

long long whole_seconds(Core::Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(std::max(duration, Core::Duration { std::chrono::seconds(1) }))
        .count();
}

int status_of(End const& end)
{
    if (end.reason == Reason::KeyReusedForOtherRequest)
        return status_conflict;
    return end.outcome == Outcome::Unknown ? status_bad_gateway : status_unavailable;
}

std::string message_of(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "the whole answer is here";
    case Outcome::NotRun:
        return "this request did not run";
    case Outcome::Undecided:
        return "this attempt did not run it; send it again with the same key";
    case Outcome::Unknown:
        return "the request may have run; it will not be run again";
    }
    return "";
}

/// The event that ends an incomplete stream, so that it is not taken for a complete short answer.
std::string broken_stream_event(RequestFlow const& flow, End const& end)
{
    auto body = nlohmann::json::parse(error_body(message_of(end.outcome), "server_error", "", end.reason));
    body["error"]["outcome"] = Core::to_string(end.outcome);
    body["error"]["request_id"] = to_hexadecimal(flow.facts.id);
    return "event: error\ndata: " + body.dump() + "\n\n";
}

}

std::string to_hexadecimal(Core::RequestId id)
{
    return fmt::format("{:016x}", id.value());
}

std::string error_body(std::string const& message, std::string const& type, std::string const& field, Reason reason)
{
    nlohmann::json error { { "message", message }, { "type", type }, { "code", Core::to_string(reason) } };
    error["param"] = field.empty() ? nlohmann::json() : nlohmann::json(field);
    return nlohmann::json { { "error", error } }.dump();
}

HeaderList outcome_headers(Outcome outcome, Reason reason)
{
    return { { "X-Cleatbeam-Outcome", std::string(Core::to_string(outcome)) },
        { "X-Cleatbeam-Reason", std::string(Core::to_string(reason)) } };
}

CallerAnswer::CallerAnswer(std::shared_ptr<RequestFlow> request_flow, HeaderList request_headers, OnEnd when_ended)
    : flow(std::move(request_flow))
    , headers(std::move(request_headers))
    , on_end(std::move(when_ended))
{
}

std::optional<AnswerPart> CallerAnswer::next()
{
    if (this->held_back)
        return std::exchange(this->held_back, std::nullopt);
    while (auto event = this->flow->try_pop()) {
        auto part = std::visit([this](auto& happened) { return this->take(happened); }, *event);
        if (part)
            return part;
    }
    return {};
}

std::optional<AnswerPart> CallerAnswer::take(Head& begun)
{
    this->head = begun;
    this->is_streamed = this->flow->facts.streaming && begun.content_type.starts_with("text/event-stream");
    if (!this->is_streamed)
        return {};
    return AnswerHead { begun.status, begun.content_type, this->headers };
}

std::optional<AnswerPart> CallerAnswer::take(Chunk& chunk)
{
    if (this->is_streamed)
        return AnswerPiece { std::move(chunk.bytes) };
    if (this->body.empty())
        this->body = std::move(chunk.bytes);
    else
        this->body += chunk.bytes;
    return {};
}

std::optional<AnswerPart> CallerAnswer::take(End& end)
{
    this->on_end(end);
    if (!this->is_streamed)
        return this->whole_answer(end);
    if (end.outcome == Outcome::Completed)
        return AnswerEnd {};
    this->held_back = AnswerEnd {};
    return AnswerPiece { broken_stream_event(*this->flow, end) };
}

WholeAnswer CallerAnswer::whole_answer(End const& end)
{
    auto all_headers = this->headers;
    for (auto& header : outcome_headers(end.outcome, end.reason))
        all_headers.push_back(std::move(header));
    if (end.outcome == Outcome::Completed && this->head)
        return { this->head->status, this->head->content_type, std::move(this->body), std::move(all_headers) };
    if (end.outcome == Outcome::NotRun || end.outcome == Outcome::Undecided)
        all_headers.emplace_back("Retry-After", std::to_string(whole_seconds(end.retry_after)));
    bool const is_complete = end.outcome == Outcome::Completed;
    return { is_complete ? status_ok : status_of(end), "application/json",
        is_complete ? "" : error_body(message_of(end.outcome), "server_error", "", end.reason),
        std::move(all_headers) };
}

}
