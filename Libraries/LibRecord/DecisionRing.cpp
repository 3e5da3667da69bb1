#include <LibRecord/DecisionRing.h>

#include <LibCore/Verify.h>
#include <sstream>

namespace Record {

std::string_view to_string(DecisionKind kind)
{
    switch (kind) {
    case DecisionKind::Arrived:
        return "arrived";
    case DecisionKind::Queued:
        return "waits in the queue";
    case DecisionKind::Placed:
        return "sent to an endpoint";
    case DecisionKind::Refused:
        return "refused";
    case DecisionKind::Preempted:
        return "taken off its endpoint";
    case DecisionKind::Retried:
        return "will be tried again";
    case DecisionKind::Claimed:
        return "key claimed";
    case DecisionKind::Ended:
        return "ended";
    }
    VERIFY(false);
}

std::string DecisionRecord::to_sentence() const
{
    std::ostringstream line;
    line << this->at_milliseconds << " " << to_string(this->kind) << ", because " << Core::to_string(this->reason);
    if (!this->endpoint.empty())
        line << "; endpoint " << this->endpoint;
    line << "; class " << this->request_class << ", account " << this->account << ", pool " << this->pool;
    line << "; " << this->inputs.queued << " waiting, " << this->inputs.running << " running, wait predicted "
         << Core::to_milliseconds(this->inputs.predicted_wait) << " ms, " << Core::to_milliseconds(this->inputs.slack)
         << " ms until the latest start in time";
    for (std::size_t index = 0; index < this->inputs.candidate_count; ++index)
        line << (index == 0 ? "; candidates " : ", ") << this->inputs.candidates[index].endpoint.value() << " scored "
             << this->inputs.candidates[index].score;
    line << "; settings " << this->settings_version.value();
    return line.str();
}

void DecisionRing::add(DecisionRecord record)
{
    std::scoped_lock const lock(this->mutex);
    this->sequences_of_request[record.request].push_back(this->first_sequence + this->records.size());
    this->records.push_back(std::move(record));
    if (this->records.size() <= this->capacity)
        return;
    auto const oldest = this->sequences_of_request.find(this->records.front().request);
    VERIFY(oldest != this->sequences_of_request.end() && oldest->second.front() == this->first_sequence);
    oldest->second.erase(oldest->second.begin());
    if (oldest->second.empty())
        this->sequences_of_request.erase(oldest);
    this->records.pop_front();
    ++this->first_sequence;
}

std::vector<DecisionRecord> DecisionRing::find(Core::RequestId request) const
{
    std::scoped_lock const lock(this->mutex);
    std::vector<DecisionRecord> found;
    auto const sequences = this->sequences_of_request.find(request);
    if (sequences == this->sequences_of_request.end())
        return found;
    for (auto const sequence : sequences->second)
        found.push_back(this->records[sequence - this->first_sequence]);
    return found;
}

std::uint64_t DecisionRing::dropped() const
{
    std::scoped_lock const lock(this->mutex);
    return this->first_sequence;
}

}
