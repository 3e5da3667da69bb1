#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Server {

/// Why a body is no JSON document.
struct JsonFault {
    /// Whether it holds bytes that are not UTF-8.
    bool is_not_utf8 { false };
    /// Where the fault is, in bytes from the beginning.
    std::size_t byte { 0 };

    bool operator==(JsonFault const&) const = default;
};

/// What the router needs of the body of a model call.
struct ModelCall {
    /// The JSON type of a field.
    enum class Field {
        Absent,
        Null,
        True,
        False,
        Text,
        EmptyList,
        List,
        Other,
    };

    bool is_object { false };
    Field model { Field::Absent };
    /// Empty unless `model` is a text.
    std::string model_name;
    Field stream { Field::Absent };
    Field messages { Field::Absent };
    Field prompt { Field::Absent };
    /// Of the beginning of the messages, or of the prompt if there are none; 0 for neither. Equal for calls that begin
    /// alike.
    std::uint64_t prefix_hash { 0 };

    bool operator==(ModelCall const&) const = default;
};

/// Reads a body in one pass. Nothing but one text of it is in memory besides: the parsed form of a body can take 25
/// times its bytes.
[[nodiscard]] std::variant<ModelCall, JsonFault> parse_model_call(std::string const& body);

}
