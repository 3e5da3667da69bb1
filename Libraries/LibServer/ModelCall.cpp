#include <LibServer/ModelCall.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Server {

namespace {

using Json = nlohmann::json;
using Field = ModelCall::Field;

constexpr std::size_t hashed_prefix_bytes = 512;

/// The first bytes of a text that arrives in pieces.
class Prefix {
public:
    void append(std::string_view piece) { this->text.append(piece.substr(0, hashed_prefix_bytes - this->text.size())); }
    void clear() { this->text.clear(); }
    [[nodiscard]] std::uint64_t hash() const
    {
        return this->text.empty() ? 0 : XXH3_64bits(this->text.data(), this->text.size());
    }

private:
    std::string text;
};

/// Receives the events of the parser. The names of its functions are required by the JSON library.
class ModelCallReader {
public:
    bool null() { return this->scalar(Field::Null, "null"); }
    bool boolean(bool value) { return this->scalar(value ? Field::True : Field::False, value ? "true" : "false"); }
    bool number_integer(Json::number_integer_t value) { return this->scalar(Field::Other, std::to_string(value)); }
    bool number_unsigned(Json::number_unsigned_t value) { return this->scalar(Field::Other, std::to_string(value)); }
    bool number_float(Json::number_float_t /*value*/, std::string const& text)
    {
        return this->scalar(Field::Other, text);
    }
    bool string(std::string& text)
    {
        if (this->depth == 1 && this->field == &this->call.model)
            this->call.model_name = text;
        if (this->depth == 1 && this->field == &this->call.prompt)
            this->prompt_prefix.append(text);
        this->follow_messages("\"");
        this->follow_messages(text);
        return this->scalar(Field::Text, "\"");
    }
    bool binary(Json::binary_t& /*bytes*/) { return false; }
    bool start_object(std::size_t /*size*/)
    {
        if (this->depth == 0)
            this->call.is_object = true;
        return this->begin_value(Field::Other, "{");
    }
    bool key(std::string& name)
    {
        if (this->depth == 1)
            this->begin_field(name);
        else
            this->follow_messages(name);
        this->follow_messages(":");
        return true;
    }
    bool end_object() { return this->end_value("}"); }
    bool start_array(std::size_t /*size*/)
    {
        if (this->depth == 0)
            this->field = nullptr;
        return this->begin_value(Field::EmptyList, "[");
    }
    bool end_array() { return this->end_value("]"); }
    bool parse_error(std::size_t position, std::string const& /*token*/, Json::exception const& error)
    {
        bool const is_not_utf8 = std::string_view(error.what()).find("UTF-8") != std::string_view::npos;
        this->fault = JsonFault { is_not_utf8, position };
        return false;
    }

    [[nodiscard]] std::variant<ModelCall, JsonFault> result()
    {
        if (this->fault)
            return *this->fault;
        bool const has_messages = this->call.messages != Field::Absent;
        this->call.prefix_hash = (has_messages ? this->messages_prefix : this->prompt_prefix).hash();
        return this->call;
    }

private:
    /// A field that is named twice has its last value.
    void begin_field(std::string const& name)
    {
        this->field = nullptr;
        if (name == "model") {
            this->field = &this->call.model;
            this->call.model_name.clear();
        } else if (name == "stream") {
            this->field = &this->call.stream;
        } else if (name == "messages") {
            this->field = &this->call.messages;
            this->messages_prefix.clear();
        } else if (name == "prompt") {
            this->field = &this->call.prompt;
            this->prompt_prefix.clear();
        }
    }

    bool scalar(Field type, std::string_view text)
    {
        this->note_type(type);
        this->follow_messages(text);
        this->follow_messages(",");
        return true;
    }
    bool begin_value(Field type, std::string_view bracket)
    {
        this->note_type(type);
        this->follow_messages(bracket);
        ++this->depth;
        return true;
    }
    bool end_value(std::string_view bracket)
    {
        --this->depth;
        this->follow_messages(bracket);
        this->follow_messages(",");
        return true;
    }
    void note_type(Field type)
    {
        constexpr std::size_t in_field = 2;
        if (this->field == nullptr)
            return;
        if (this->depth == 1)
            *this->field = type;
        else if (this->depth == in_field && *this->field == Field::EmptyList)
            *this->field = Field::List;
    }
    void follow_messages(std::string_view text)
    {
        if (this->depth > 0 && this->field == &this->call.messages)
            this->messages_prefix.append(text);
    }

    ModelCall call;
    std::optional<JsonFault> fault;
    std::size_t depth { 0 };
    /// The field of the call whose value is being read; null for others.
    Field* field { nullptr };
    Prefix messages_prefix;
    Prefix prompt_prefix;
};

}

std::variant<ModelCall, JsonFault> parse_model_call(std::string const& body)
{
    ModelCallReader reader;
    static_cast<void>(Json::sax_parse(body, &reader));
    return reader.result();
}

}
