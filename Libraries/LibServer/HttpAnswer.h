#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Server {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// An answer with its body.
struct WholeAnswer {
    int status { 200 };
    std::string content_type;
    std::string body;
    HeaderList headers {};

    bool operator==(WholeAnswer const&) const = default;
};

/// The beginning of an answer whose body comes in pieces.
struct AnswerHead {
    int status { 200 };
    std::string content_type;
    HeaderList headers {};

    bool operator==(AnswerHead const&) const = default;
};

struct AnswerPiece {
    std::string bytes;

    bool operator==(AnswerPiece const&) const = default;
};

/// The end of an answer that came in pieces.
struct AnswerEnd {
    bool operator==(AnswerEnd const&) const = default;
};

using AnswerPart = std::variant<WholeAnswer, AnswerHead, AnswerPiece, AnswerEnd>;

/// An answer that comes later, in parts: one whole answer, or a head, pieces and an end.
struct PendingAnswer {
    /// The next part, or nothing if it has not come yet.
    std::function<std::optional<AnswerPart>()> next;
    /// Sets what is called, from any thread, when there may be a further part.
    std::function<void(std::function<void()>)> set_on_part;
    /// The client left before the end.
    std::function<void()> abandon;
};

using HttpAnswer = std::variant<WholeAnswer, PendingAnswer>;

}
