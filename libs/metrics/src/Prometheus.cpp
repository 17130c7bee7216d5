#include <metrics/Prometheus.h>

#include <cstdio>
#include <map>
#include <utility>
#include <vector>

namespace metrics {

namespace {

using Labels = std::vector<std::pair<std::string, std::string>>;

constexpr std::string_view prefix = "fuchsiadock_";
constexpr double millisPerSecond = 1000.0;
constexpr std::array<std::string_view, outcomeCount> outcomeNames = {"complete", "not-run",
                                                                     "unknown"};

std::string formatNumber(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof(buffer), "%.10g", value);
    return buffer;
}

Labels labelsOf(const Series &series)
{
    return {{"customer", series.customer_}, {"class", series.requestClass_}};
}

Labels with(Labels labels, std::string name, std::string value)
{
    labels.emplace_back(std::move(name), std::move(value));
    return labels;
}

/** Builds the exposition text line by line. */
class Writer
{
public:
    void header(std::string_view name, std::string_view help, std::string_view type)
    {
        text_.append("# HELP ").append(prefix).append(name).append(" ").append(help).append("\n");
        text_.append("# TYPE ").append(prefix).append(name).append(" ").append(type).append("\n");
    }

    void line(std::string_view name, const Labels &labels, double value)
    {
        text_.append(prefix).append(name);
        std::string_view separator = "{";
        for (const auto &[label, labelValue] : labels) {
            text_.append(separator).append(label).append("=\"");
            text_.append(escapedLabelValue(labelValue)).append("\"");
            separator = ",";
        }
        text_.append(labels.empty() ? " " : "} ").append(formatNumber(value)).append("\n");
    }

    void distribution(const std::string &name, const Labels &labels, const Distribution &value)
    {
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < bucketBoundsMillis.size(); ++i) {
            cumulative += value.buckets_[i];
            const auto bound = formatNumber(bucketBoundsMillis[i] / millisPerSecond);
            line(name + "_bucket", with(labels, "le", bound), static_cast<double>(cumulative));
        }
        const auto count = static_cast<double>(value.count_);
        line(name + "_bucket", with(labels, "le", "+Inf"), count);
        line(name + "_sum", labels, value.sumMillis_ / millisPerSecond);
        line(name + "_count", labels, count);
    }

    std::string take() { return std::move(text_); }

private:
    std::string text_;
};

void writeHistograms(Writer &writer, const Snapshot &snapshot, const std::string &name,
                     std::string_view help, Distribution Series::*member)
{
    writer.header(name, help, "histogram");
    for (const Series &series : snapshot.series_)
        writer.distribution(name, labelsOf(series), series.*member);
}

void writeCounters(Writer &writer, const Snapshot &snapshot)
{
    writer.header("requests_total", "Requests answered, by outcome.", "counter");
    for (const Series &series : snapshot.series_) {
        for (std::size_t i = 0; i < outcomeCount; ++i) {
            const auto labels = with(labelsOf(series), "outcome", std::string(outcomeNames[i]));
            writer.line("requests_total", labels, static_cast<double>(series.outcomes_[i]));
        }
    }
    writer.header("attempts_total", "Calls sent to instances for these requests.", "counter");
    for (const Series &series : snapshot.series_)
        writer.line("attempts_total", labelsOf(series), static_cast<double>(series.attempts_));
}

void writeQuantiles(Writer &writer, const Snapshot &snapshot)
{
    constexpr std::string_view name = "request_duration_quantile_seconds";
    writer.header(name, "Estimated quantiles of the last one to two minutes.", "gauge");
    for (const Series &series : snapshot.series_) {
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            const auto labels = with(labelsOf(series), "quantile", formatNumber(quantiles[i]));
            writer.line(name, labels, series.latency_.quantileMillis_[i] / millisPerSecond);
        }
    }
}

void writeCustomers(Writer &writer, const Snapshot &snapshot)
{
    if (snapshot.customers_.empty())
        return;
    writer.header("customer_complete_total", "Requests answered whole.", "counter");
    for (const auto &usage : snapshot.customers_)
        writer.line("customer_complete_total", {{"customer", usage.customer_}},
                    static_cast<double>(usage.completeCount_));
    writer.header("customer_sent_total", "Requests sent to an instance.", "counter");
    for (const auto &usage : snapshot.customers_)
        writer.line("customer_sent_total", {{"customer", usage.customer_}},
                    static_cast<double>(usage.sentCount_));
    writer.header("customer_not_complete_total", "Requests not run or unknown, by reason.",
                  "counter");
    for (const auto &usage : snapshot.customers_) {
        for (const auto &[reason, count] : usage.failures_)
            writer.line("customer_not_complete_total",
                        {{"customer", usage.customer_}, {"reason", reason}},
                        static_cast<double>(count));
    }
}

// The format requires all lines of one metric to be consecutive.
void writeValues(Writer &writer, const Snapshot &snapshot)
{
    std::map<std::string, std::vector<const Value *>> byName;
    for (const Value &value : snapshot.values_)
        byName[value.name_].push_back(&value);
    for (const auto &[name, values] : byName) {
        const bool isCounter = values.front()->kind_ == ValueKind::Counter;
        writer.header(name, values.front()->help_, isCounter ? "counter" : "gauge");
        for (const Value *value : values)
            writer.line(name, value->labels_, value->value_);
    }
}

} // namespace

std::string escapedLabelValue(std::string_view value)
{
    std::string result;
    result.reserve(value.size());
    for (const char byte : value) {
        if (byte == '\\' || byte == '"')
            result.append(1, '\\').append(1, byte);
        else if (byte == '\n')
            result.append("\\n");
        else if (static_cast<unsigned char>(byte) < ' ')
            result.append(1, '?');
        else
            result.append(1, byte);
    }
    return result;
}

std::string renderPrometheus(const Snapshot &snapshot)
{
    Writer writer;
    writeCounters(writer, snapshot);
    writeHistograms(writer, snapshot, "request_duration_seconds",
                    "Time from the arrival of a request to its whole answer.", &Series::latency_);
    writeHistograms(writer, snapshot, "request_queueing_seconds",
                    "Time that a request waited for a slot.", &Series::queueing_);
    writeQuantiles(writer, snapshot);
    writeCustomers(writer, snapshot);
    writeValues(writer, snapshot);
    return writer.take();
}

} // namespace metrics
