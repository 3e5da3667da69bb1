#include <LibSettings/DocumentCheck.h>
#include <LibSettings/SettingsReader.h>

#include <set>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace Settings {

namespace {

constexpr std::size_t max_nesting = 64;

/// Uses the parser's events, because the loaded tree no longer contains duplicate keys.
class DuplicateKeyFinder final : public YAML::EventHandler {
public:
    explicit DuplicateKeyFinder(std::vector<SettingsFault>& found)
        : faults(found)
    {
    }

    void OnDocumentStart(YAML::Mark const&) override { }
    void OnDocumentEnd() override { }
    void OnNull(YAML::Mark const& mark, YAML::anchor_t) override { this->handle_scalar(mark, "null"); }
    void OnAlias(YAML::Mark const& mark, YAML::anchor_t) override
    {
        ++this->aliases;
        if (this->aliases == max_aliases + 1)
            this->faults.push_back({ this->path(), mark.line + 1, "", "too many aliases" });
        this->handle_scalar(mark, "*alias");
    }
    void OnScalar(YAML::Mark const& mark, std::string const&, YAML::anchor_t, std::string const& value) override
    {
        this->handle_scalar(mark, value);
    }
    void OnSequenceStart(YAML::Mark const& mark, std::string const&, YAML::anchor_t, YAML::EmitterStyle::value) override
    {
        this->enter_level(mark, false);
    }
    void OnSequenceEnd() override { this->leave_level(); }
    void OnMapStart(YAML::Mark const& mark, std::string const&, YAML::anchor_t, YAML::EmitterStyle::value) override
    {
        this->enter_level(mark, true);
    }
    void OnMapEnd() override { this->leave_level(); }

private:
    struct Level {
        bool is_map { false };
        bool expects_key { true };
        std::string current_key;
        std::set<std::string> keys;
    };

    [[nodiscard]] std::string path() const
    {
        std::string path;
        for (auto const& level : this->levels) {
            if (level.is_map && !level.current_key.empty())
                path += (path.empty() ? "" : "/") + level.current_key;
        }
        return path;
    }

    void handle_scalar(YAML::Mark const& mark, std::string const& value)
    {
        if (this->levels.empty() || !this->levels.back().is_map)
            return;
        auto& level = this->levels.back();
        if (!level.expects_key) {
            level.expects_key = true;
            return;
        }
        level.expects_key = false;
        level.current_key = value;
        if (!level.keys.insert(value).second)
            this->faults.push_back({ this->path(), mark.line + 1, value, "duplicate key" });
    }

    void enter_level(YAML::Mark const& mark, bool is_map)
    {
        if (!this->levels.empty() && this->levels.back().is_map)
            this->levels.back().expects_key = true;
        if (this->levels.size() == max_nesting)
            this->faults.push_back({ this->path(), mark.line + 1, "", "nested too deep" });
        this->levels.push_back({ is_map, true, {}, {} });
    }

    void leave_level() { this->levels.pop_back(); }

    std::vector<SettingsFault>& faults;
    std::vector<Level> levels;
    std::size_t aliases { 0 };
};

}

void check_document_text(std::string const& text, std::vector<SettingsFault>& faults)
{
    if (text.size() > max_document_bytes) {
        faults.push_back({ "", 0, std::to_string(text.size()), "document is larger than 4194304 bytes" });
        return;
    }
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        DuplicateKeyFinder finder(faults);
        if (!parser.HandleNextDocument(finder))
            faults.push_back({ "", 0, "", "document is empty" });
    } catch (YAML::Exception const& exception) {
        faults.push_back({ "", exception.mark.line + 1, "", exception.msg });
    }
}

}
