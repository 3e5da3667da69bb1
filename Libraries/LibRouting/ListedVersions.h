#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <map>
#include <string>

namespace Routing {

using Core::Duration;
using Core::Instant;

/// Which software versions of each service were listed lately, also those that have left.
class ListedVersions {
public:
    /// An endpoint of this version is listed, or was until now.
    void note(std::string const& service, std::string const& version, Instant now)
    {
        auto& versions = this->last_listed[service];
        versions[version] = now;
        if (versions.size() > max_versions)
            versions.erase(std::ranges::min_element(versions, {}, [](auto const& entry) { return entry.second; }));
    }
    /// Whether a version other than this one came, changed or left since then.
    [[nodiscard]] bool was_other_listed(std::string const& service, std::string const& version, Instant since) const
    {
        auto const found = this->last_listed.find(service);
        return found != this->last_listed.end() && std::ranges::any_of(found->second, [&](auto const& entry) {
            return entry.first != version && entry.second >= since;
        });
    }

private:
    /// Of one service. Two versions are usual during a release.
    static constexpr std::size_t max_versions = 16;

    std::map<std::string, std::map<std::string, Instant>> last_listed;
};

}
