#include <bench/RunAudit.h>

namespace bench {

RunAudit RunAudit::of(const std::map<std::string, std::uint32_t> &runs,
                      const std::vector<FinishedRequest> &requests,
                      const std::vector<bool> &isIdempotentByClass)
{
    RunAudit audit;
    audit.requestsRun_ = runs.size();
    for (const auto &[id, count] : runs) {
        audit.duplicateRuns_ += count - 1;
    }
    for (const FinishedRequest &request : requests) {
        if (isIdempotentByClass[request.classIndex_]) {
            continue;
        }
        const bool ran = runs.contains(request.id_);
        const bool completed = request.outcome_ == RequestOutcome::Complete
                               || request.outcome_ == RequestOutcome::Late;
        audit.ranButReportedNotRun_ += ran && request.outcome_ == RequestOutcome::NotRun ? 1 : 0;
        audit.completeWithoutRun_ += !ran && completed ? 1 : 0;
    }
    return audit;
}

} // namespace bench
