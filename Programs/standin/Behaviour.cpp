#include "Behaviour.h"

#include <cmath>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace Standin {

namespace {

std::string fault_at(YAML::Node const& node, std::string_view field, std::string_view fault)
{
    return fmt::format("line {}: {}: {}", node.Mark().line + 1, field, fault);
}

/// Appends a style's share. Returns whether it is valid.
bool append_share(Behaviour& behaviour, std::string const& name, YAML::Node const& value, Core::LastReason& last_reason)
{
    auto const field = "answers." + name;
    auto const style = find_answer_style(name);
    if (!style) {
        last_reason.text = fault_at(value, field, "there is no such style");
        return false;
    }
    double share = 0;
    if (!value.IsScalar() || !YAML::convert<double>::decode(value, share) || !(share >= 0 && share <= 1)) {
        last_reason.text = fault_at(value, field, "is not a number from 0 to 1");
        return false;
    }
    auto const end = share + (behaviour.shares.empty() ? 0 : behaviour.shares.back().end);
    constexpr double rounding = 1e-9;
    if (end > 1 + rounding) {
        last_reason.text = fault_at(value, field, "the shares add up to more than 1");
        return false;
    }
    behaviour.shares.push_back({ end, *style });
    return true;
}

bool read_answers(Behaviour& behaviour, YAML::Node const& answers, Core::LastReason& last_reason)
{
    if (!answers.IsMap()) {
        last_reason.text = fault_at(answers, "answers", "is not a map from styles to shares");
        return false;
    }
    for (auto const& entry : answers) {
        if (!append_share(behaviour, entry.first.as<std::string>(), entry.second, last_reason))
            return false;
    }
    return true;
}

bool read_seed(Behaviour& behaviour, YAML::Node const& seed, Core::LastReason& last_reason)
{
    if (seed.IsScalar() && YAML::convert<std::uint64_t>::decode(seed, behaviour.seed))
        return true;
    last_reason.text = fault_at(seed, "seed", "is not a whole number");
    return false;
}

std::optional<Behaviour> read_document(YAML::Node const& root, Core::LastReason& last_reason)
{
    if (!root.IsMap()) {
        last_reason.text = fault_at(root, "document", "is not a map");
        return {};
    }
    Behaviour behaviour;
    for (auto const& entry : root) {
        auto const field = entry.first.as<std::string>();
        bool is_valid = false;
        if (field == "seed")
            is_valid = read_seed(behaviour, entry.second, last_reason);
        else if (field == "answers")
            is_valid = read_answers(behaviour, entry.second, last_reason);
        else
            last_reason.text = fault_at(entry.first, field, "there is no such field");
        if (!is_valid)
            return {};
    }
    return behaviour;
}

}

std::optional<Behaviour> read_behaviour(std::string const& text, Core::LastReason& last_reason)
{
    // NOTE: The YAML library throws on a document that can't be parsed.
    try {
        return read_document(YAML::Load(text), last_reason);
    } catch (YAML::Exception const& exception) {
        last_reason.text = fmt::format("line {}: document: {}", exception.mark.line + 1, exception.msg);
        return {};
    }
}

AnswerStyle AnswerStyles::draw()
{
    auto const drawn = this->draw_fraction();
    for (auto const& share : this->behaviour.shares) {
        if (drawn >= share.end)
            continue;
        auto style = share.style;
        style.break_place = this->draw_fraction();
        return style;
    }
    return {};
}

double AnswerStyles::draw_fraction()
{
    return std::ldexp(static_cast<double>(this->random()), -32);
}

}
