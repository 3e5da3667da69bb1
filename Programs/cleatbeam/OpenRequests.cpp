#include "OpenRequests.h"

#include <xxhash.h>

#include <algorithm>

namespace {

std::uint64_t key_of(std::string const& id)
{
    return XXH3_64bits(id.data(), id.size());
}

}

void OpenRequests::begin(std::string const& id, LogTime expires, OpenRequest request)
{
    auto const key = key_of(id);
    if (auto const found = this->requests.find(key); found != this->requests.end()) {
        expires = std::max(expires, found->second.expires);
        request.began_in_window |= found->second.request.began_in_window;
        if (!request.account)
            request.account = found->second.request.account;
        this->erase(found);
    }
    this->by_expiry.emplace(expires, key);
    this->requests.emplace(key, Entry { expires, std::move(request) });
    if (this->requests.size() <= this->limit)
        return;
    auto const earliest = this->requests.find(this->by_expiry.begin()->second);
    this->forgotten_requests += earliest->second.request.began_in_window ? 1 : 0;
    this->erase(earliest);
}

std::optional<OpenRequest> OpenRequests::end(std::string const& id)
{
    auto const found = this->requests.find(key_of(id));
    if (found == this->requests.end())
        return {};
    auto request = std::move(found->second.request);
    this->erase(found);
    return request;
}

void OpenRequests::drop_expired(LogTime now)
{
    this->drop_until(now);
}

void OpenRequests::drop_until(LogTime time)
{
    while (!this->by_expiry.empty() && this->by_expiry.begin()->first < time) {
        auto const expired = this->requests.find(this->by_expiry.begin()->second);
        this->lost_requests += expired->second.request.began_in_window ? 1 : 0;
        this->erase(expired);
    }
}

void OpenRequests::erase(Requests::iterator entry)
{
    this->by_expiry.erase({ entry->second.expires, entry->first });
    this->requests.erase(entry);
}
