#pragma once

#include <cstdint>
#include <random>
#include <string>

/// The text of a configuration record with many routes, for timing what is done with it. The same for every run.
class LargeConfiguration {
public:
    explicit LargeConfiguration(std::size_t routes)
    {
        std::mt19937_64 random(seed);
        this->record = R"({"version":17,"routes":[)";
        for (std::size_t index = 0; index < routes; ++index)
            this->add_route(index, random);
        this->record += R"(],"services":[{"name":"model","health_path":"/health","max_conns":840,)"
                        R"("engine":{"slots":64,"kv_cache_tokens":457775,"stride":6}},)"
                        R"({"name":"desk","health_path":"/health","max_conns":580}],"tenants":[)";
        for (std::size_t index = 0; index < accounts; ++index)
            this->add_account(index, random);
        this->record += "]}";
    }

    [[nodiscard]] std::string const& text() const { return this->record; }
    [[nodiscard]] static std::string host(std::size_t index)
    {
        return "h" + std::to_string(index % hosts) + ".example";
    }

private:
    static constexpr std::uint64_t seed { 20 };
    static constexpr std::size_t hosts { 36 };
    static constexpr std::size_t accounts { 24 };
    /// Random letters of a prefix or a key.
    static constexpr std::size_t letters { 8 };

    static std::string word(std::mt19937_64& random)
    {
        std::string letters_of_word;
        for (std::size_t index = 0; index < letters; ++index)
            letters_of_word += static_cast<char>('a' + random() % ('z' - 'a' + 1));
        return letters_of_word;
    }

    void add_route(std::size_t index, std::mt19937_64& random)
    {
        bool const is_streaming = index % 3 == 0;
        this->record += index == 0 ? "" : ",";
        this->record += R"({"name":"r)" + std::to_string(index) + R"(","host":")" + host(index);
        this->record += R"(","path_prefix":"/)" + word(random) + R"(/","kind":")";
        this->record += is_streaming ? R"(streaming","service":"model")" : R"(idempotent","service":"desk")";
        this->record += is_streaming ? R"(,"timeout_ms":4000,"goal_ms":1200)" : R"(,"timeout_ms":600,"goal_ms":120)";
        this->record += R"(,"max_attempts":2,"priority":)" + std::to_string(random() % 3);
        this->record += R"(,"public":)" + std::string(index % 10 == 0 ? "true" : "false");
        this->record += R"(,"can_resume":)" + std::string(is_streaming ? "true}" : "false}");
    }

    void add_account(std::size_t index, std::mt19937_64& random)
    {
        this->record += index == 0 ? "" : ",";
        this->record += R"({"name":"account)" + std::to_string(index) + R"(","api_keys":[")" + word(random) + R"(",")"
            + word(random) + R"("],"priority":)" + std::to_string(index % 3) + "}";
    }

    std::string record;
};
