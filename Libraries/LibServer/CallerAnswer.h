#pragma once

#include <LibServer/HttpAnswer.h>
#include <LibServer/RequestFlow.h>

#include <memory>

namespace Server {

/// Turns the events of a request into the parts of its answer: a stream of events is passed on in pieces, any other
/// answer is collected and passed on as a whole.
class CallerAnswer {
public:
    /// Called with the end of the request, once.
    using OnEnd = std::function<void(End const&)>;

    CallerAnswer(std::shared_ptr<RequestFlow> flow, HeaderList headers, OnEnd on_end);

    /// The next part, or nothing if no event has come that makes one.
    [[nodiscard]] std::optional<AnswerPart> next();

private:
    [[nodiscard]] std::optional<AnswerPart> take(Head& head);
    [[nodiscard]] std::optional<AnswerPart> take(Chunk& chunk);
    [[nodiscard]] std::optional<AnswerPart> take(End& end);
    [[nodiscard]] WholeAnswer whole_answer(End const& end);

    std::shared_ptr<RequestFlow> flow;
    HeaderList headers;
    OnEnd on_end;
    std::optional<Head> head;
    bool is_streamed { false };
    std::string body;
    /// Parts that follow the one that was returned.
    std::optional<AnswerPart> held_back;
};

/// The fields of an answer that say how its request ended.
[[nodiscard]] HeaderList outcome_headers(Core::Outcome outcome, Core::Reason reason);
/// An error in the format of the callers' API.
[[nodiscard]] std::string error_body(
    std::string const& message, std::string const& type, std::string const& field, Core::Reason reason);
[[nodiscard]] std::string to_hexadecimal(Core::RequestId id);

}
