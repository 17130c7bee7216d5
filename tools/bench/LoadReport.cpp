#include <LoadReport.h>

#include <iomanip>
#include <ostream>

#include <nlohmann/json.hpp>

namespace bench {

namespace {

constexpr double millisPerSecond = 1000.0;
constexpr int nameWidth = 20;
constexpr int countWidth = 9;

double perSecond(std::uint64_t count, base::Millis duration)
{
    return static_cast<double>(count) * millisPerSecond / duration.fractional();
}

void printHeader(std::ostream &out)
{
    out << std::left << std::setw(nameWidth) << "class" << std::right;
    for (const char *name : {"sent", "complete", "late", "failed", "not-run", "unknown", "wrong",
                             "attempts", "retries", "goodput/s", "p50 ms", "p99 ms"}) {
        out << std::setw(countWidth + 1) << name;
    }
    out << '\n';
}

} // namespace

void printTallies(std::ostream &out, const RequestMix &mix, const std::vector<Tally> &tallies,
                  base::Millis duration)
{
    printHeader(out);
    for (std::size_t classIndex = 0; classIndex < tallies.size(); ++classIndex) {
        const Tally &tally = tallies[classIndex];
        out << std::left << std::setw(nameWidth) << mix.classes_[classIndex].name_ << std::right;
        for (const std::uint64_t count :
             {tally.sent_, tally.complete_, tally.late_, tally.failed_, tally.notRun_,
              tally.unknown_, tally.wrong_, tally.attempts_, tally.retries()}) {
            out << ' ' << std::setw(countWidth) << count;
        }
        out << std::fixed << std::setprecision(1);
        for (const double value :
             {perSecond(tally.complete_, duration), tally.p50Ms_, tally.p99Ms_}) {
            out << ' ' << std::setw(countWidth) << value;
        }
        out << '\n';
    }
}

nlohmann::json talliesJson(const RequestMix &mix, const std::vector<Tally> &tallies,
                           base::Millis duration)
{
    nlohmann::json result = nlohmann::json::object();
    for (std::size_t classIndex = 0; classIndex < tallies.size(); ++classIndex) {
        const Tally &tally = tallies[classIndex];
        result[mix.classes_[classIndex].name_] = {
                {"sent", tally.sent_},
                {"complete", tally.complete_},
                {"late", tally.late_},
                {"failed", tally.failed_},
                {"notRun", tally.notRun_},
                {"unknown", tally.unknown_},
                {"wrong", tally.wrong_},
                {"attempts", tally.attempts_},
                {"retries", tally.retries()},
                {"goodputPerSecond", perSecond(tally.complete_, duration)},
                {"p50Ms", tally.p50Ms_},
                {"p99Ms", tally.p99Ms_}};
    }
    return result;
}

std::vector<Tally> talliesOf(const RequestMix &mix, const std::vector<FinishedRequest> &requests,
                             base::Millis from, base::Millis to)
{
    std::vector<Tally> tallies;
    for (std::size_t classIndex = 0; classIndex < mix.classes_.size(); ++classIndex) {
        tallies.push_back(Tally::of(requests, classIndex, from, to));
    }
    return tallies;
}

} // namespace bench
