#include <settings/Loader.h>

#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <sstream>

#include <yaml-cpp/yaml.h>

namespace settings {

namespace {

/** Error message for one value, or nothing when the value was accepted. */
using Problem = std::optional<std::string>;

/** Parser of one field of the settings file. */
struct Field
{
    bool isRequired_;
    std::function<Problem(const YAML::Node &, Settings &)> read_;
};

constexpr std::size_t maxNameLength = 64;
constexpr std::int64_t maxWindowMs = 3'600'000;
constexpr std::int64_t maxWindowSeconds = 3600;
constexpr double maxAmount = 1e6;
constexpr std::uint64_t bytesPerMebibyte = 1024 * 1024;

Problem readString(const YAML::Node &node, std::string &target)
{
    if (!node.IsScalar() || node.Scalar().empty())
        return "must be a non-empty string";
    target = node.Scalar();
    return {};
}

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

Problem readName(const YAML::Node &node, std::string &target)
{
    if (auto problem = readString(node, target))
        return problem;
    const bool isValid = target.size() <= maxNameLength
                         && std::all_of(target.begin(), target.end(), isNameCharacter);
    if (!isValid)
        return "must have at most 64 letters, digits, '-', '_' or '.'";
    return {};
}

Problem readAddress(const YAML::Node &node, model::Address &target)
{
    if (!node.IsScalar())
        return "must be an address such as 10.0.0.1:7000";
    auto parsed = model::Address::parse(node.Scalar());
    if (!parsed)
        return parsed.error().message_;
    target = *parsed;
    return {};
}

Problem readSeeds(const YAML::Node &node, std::vector<model::Address> &target)
{
    if (!node.IsSequence())
        return "must be a list of addresses";
    for (const auto &entry : node) {
        model::Address address;
        if (auto problem = readAddress(entry, address))
            return problem;
        target.push_back(address);
    }
    return {};
}

template<typename Number>
Problem readNumber(const YAML::Node &node, Number minimum, Number maximum, Number &target)
{
    long long value = 0;
    const auto range = "must be a whole number from " + std::to_string(minimum) + " to "
                       + std::to_string(maximum);
    if (!node.IsScalar() || !YAML::convert<long long>::decode(node, value))
        return range;
    if (value < static_cast<long long>(minimum) || value > static_cast<long long>(maximum))
        return range;
    target = static_cast<Number>(value);
    return {};
}

Problem readMillis(const YAML::Node &node, std::int64_t minimum, std::int64_t maximum,
                   base::Millis &target)
{
    std::int64_t value = 0;
    if (auto problem = readNumber(node, minimum, maximum, value))
        return *problem + " (milliseconds)";
    target = base::Millis(value);
    return {};
}

Problem readSeconds(const YAML::Node &node, std::int64_t maximum, base::Millis &target)
{
    constexpr std::int64_t millisPerSecond = 1000;
    std::int64_t value = 0;
    if (auto problem = readNumber<std::int64_t>(node, 1, maximum, value))
        return *problem + " (seconds)";
    target = base::Millis(value * millisPerSecond);
    return {};
}

Problem readMebibytes(const YAML::Node &node, std::size_t maximum, std::size_t &target)
{
    std::size_t value = 0;
    if (auto problem = readNumber<std::size_t>(node, 1, maximum, value))
        return *problem + " (MiB)";
    target = value * bytesPerMebibyte;
    return {};
}

Problem readRatio(const YAML::Node &node, double &target)
{
    double value = 0;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || value < 0 || value > 1)
        return "must be a number from 0 to 1";
    target = value;
    return {};
}

Problem readAmount(const YAML::Node &node, double &target)
{
    double value = 0;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || value < 0
        || value > maxAmount)
        return "must be a number from 0 to 1000000";
    target = value;
    return {};
}

Problem readMode(const YAML::Node &node, Mode &target)
{
    const std::string text = node.IsScalar() ? node.Scalar() : "";
    if (text != "full" && text != "baseline")
        return "must be 'full' or 'baseline'";
    target = text == "full" ? Mode::Full : Mode::Baseline;
    return {};
}

Problem readFlag(const YAML::Node &node, bool &target)
{
    const std::string text = node.IsScalar() ? node.Scalar() : "";
    if (text != "true" && text != "false")
        return "must be 'true' or 'false'";
    target = text == "true";
    return {};
}

Problem readLogLevel(const YAML::Node &node, std::string &target)
{
    static const std::set<std::string> levels = {"debug", "info", "warning", "error"};
    if (!node.IsScalar() || !levels.contains(node.Scalar()))
        return "must be 'debug', 'info', 'warning' or 'error'";
    target = node.Scalar();
    return {};
}

Problem readTokenFile(const YAML::Node &node, std::string &target)
{
    std::string path;
    if (auto problem = readString(node, path))
        return problem;
    std::ifstream stream(path);
    if (!std::getline(stream, target) || target.empty())
        return "cannot read a token from '" + path + "'";
    return {};
}

PlatformSettings &ensurePlatform(Settings &settings)
{
    return settings.platform_ ? *settings.platform_ : settings.platform_.emplace();
}

/** Fields required together: a daemon uses either its own log or that of the platform. */
constexpr const char *standaloneFields[] = {"log", "adminAddress"};
constexpr const char *platformFields[] = {"platformStore", "heartbeatAddress", "readinessAddress",
                                          "backendService", "backendAddress"};

const std::map<std::string, Field> &fields()
{
    using Node = YAML::Node;
    static const std::map<std::string, Field> table = {
            {"id",
             {true,
              [](const Node &n, Settings &s) {
                  return readName(n, s.id_);
              }}},
            {"region",
             {true,
              [](const Node &n, Settings &s) {
                  return readName(n, s.region_);
              }}},
            {"dataCentre",
             {true,
              [](const Node &n, Settings &s) {
                  return readName(n, s.dataCentre_);
              }}},
            {"dataAddress",
             {true,
              [](const Node &n, Settings &s) {
                  return readAddress(n, s.dataAddress_);
              }}},
            {"peerAddress",
             {true,
              [](const Node &n, Settings &s) {
                  return readAddress(n, s.peerAddress_);
              }}},
            {"controlAddress",
             {true,
              [](const Node &n, Settings &s) {
                  return readAddress(n, s.controlAddress_);
              }}},
            {"adminAddress",
             {false,
              [](const Node &n, Settings &s) {
                  return readAddress(n, s.adminAddress_);
              }}},
            {"log",
             {false,
              [](const Node &n, Settings &s) {
                  return readAddress(n, s.logAddress_);
              }}},
            {"metricsAddress",
             {false,
              [](const Node &n, Settings &s) {
                  return readAddress(n, s.metricsAddress_.emplace());
              }}},
            {"platformStore",
             {false,
              [](const Node &n, Settings &s) {
                  return readAddress(n, ensurePlatform(s).store_);
              }}},
            {"heartbeatAddress",
             {false,
              [](const Node &n, Settings &s) {
                  return readAddress(n, ensurePlatform(s).heartbeatAddress_);
              }}},
            {"readinessAddress",
             {false,
              [](const Node &n, Settings &s) {
                  return readAddress(n, ensurePlatform(s).readinessAddress_);
              }}},
            {"backendService",
             {false,
              [](const Node &n, Settings &s) {
                  return readName(n, ensurePlatform(s).service_);
              }}},
            {"backendAddress",
             {false,
              [](const Node &n, Settings &s) {
                  return readAddress(n, ensurePlatform(s).backendAddress_);
              }}},
            {"retryBudgetRatio",
             {false,
              [](const Node &n, Settings &s) {
                  return readRatio(n, ensurePlatform(s).retryBudgetRatio_);
              }}},
            {"revocationMs",
             {false,
              [](const Node &n, Settings &s) {
                  return readMillis(n, 0, maxWindowMs, s.customers_.revocationTime_);
              }}},
            {"allowanceWindowSeconds",
             {false,
              [](const Node &n, Settings &s) {
                  return readSeconds(n, maxWindowSeconds, s.customers_.allowanceWindow_);
              }}},
            {"allowanceOverrun",
             {false,
              [](const Node &n, Settings &s) {
                  return readRatio(n, s.customers_.allowanceOverrun_);
              }}},
            {"allowanceSlack",
             {false,
              [](const Node &n, Settings &s) {
                  return readAmount(n, s.customers_.allowanceSlack_);
              }}},
            {"seeds",
             {false,
              [](const Node &n, Settings &s) {
                  return readSeeds(n, s.seeds_);
              }}},
            {"adminToken",
             {false,
              [](const Node &n, Settings &s) {
                  return readString(n, s.adminToken_);
              }}},
            {"adminTokenFile",
             {false,
              [](const Node &n, Settings &s) {
                  return readTokenFile(n, s.adminToken_);
              }}},
            {"clusterSecret",
             {false,
              [](const Node &n, Settings &s) {
                  return readString(n, s.clusterSecret_);
              }}},
            {"logLevel",
             {false,
              [](const Node &n, Settings &s) {
                  return readLogLevel(n, s.logLevel_);
              }}},
            {"traceFile",
             {false,
              [](const Node &n, Settings &s) {
                  return readString(n, s.traceFile_);
              }}},
            {"mode",
             {false,
              [](const Node &n, Settings &s) {
                  return readMode(n, s.mode_);
              }}},
            {"evenLoad",
             {false,
              [](const Node &n, Settings &s) {
                  return readFlag(n, s.evenLoad_);
              }}},
            {"memoryMiB",
             {false,
              [](const Node &n, Settings &s) {
                  return readMebibytes(n, 1'048'576, s.memoryBytes_);
              }}},
            {"maxBodyMiB",
             {false,
              [](const Node &n, Settings &s) {
                  return readMebibytes(n, 1024, s.maxBodyBytes_);
              }}},
            {"maxConnections",
             {false,
              [](const Node &n, Settings &s) {
                  return readNumber<std::uint32_t>(n, 1, 100'000, s.maxConnections_);
              }}},
            {"onceRecords",
             {false,
              [](const Node &n, Settings &s) {
                  return readNumber<std::uint32_t>(n, 100, 10'000'000, s.onceRecords_);
              }}},
            {"onceMiB",
             {false,
              [](const Node &n, Settings &s) {
                  return readMebibytes(n, 65'536, s.onceBytes_);
              }}},
            {"keyLifetimeMs",
             {false,
              [](const Node &n, Settings &s) {
                  return readMillis(n, 1000, 3'600'000, s.keyLifetime_);
              }}},
            {"logRetentionMs",
             {false,
              [](const Node &n, Settings &s) {
                  return readMillis(n, 10'000, 31'536'000'000, s.logRetention_);
              }}},
            {"drainHandoverMs",
             {false,
              [](const Node &n, Settings &s) {
                  return readMillis(n, 0, 60'000, s.drainHandover_);
              }}},
            {"drainTimeoutMs",
             {false,
              [](const Node &n, Settings &s) {
                  return readMillis(n, 0, 3'600'000, s.drainTimeout_);
              }}},
    };
    return table;
}

/** Collects the settings and faults of one file. */
class Reader
{
public:
    explicit Reader(std::string file)
        : file_(std::move(file))
    {}

    LoadResult read(const std::string &yaml)
    {
        try {
            readDocument(YAML::Load(yaml));
        } catch (const YAML::Exception &error) {
            addFault(error.mark.line + 1, "", "is not valid YAML: " + error.msg);
        }
        if (!faults_.empty())
            return tl::unexpected(faults_);
        return settings_;
    }

private:
    void readDocument(const YAML::Node &document)
    {
        if (!document.IsMap()) {
            addFault(1, "", "must contain fields such as 'id: redeem-a-1'");
            return;
        }
        for (const auto &entry : document)
            readField(entry.first, entry.second);
        for (const auto &[name, field] : fields()) {
            if (field.isRequired_ && !seen_.contains(name))
                addFault(0, name, "is missing");
        }
        checkCombinations();
    }

    void readField(const YAML::Node &key, const YAML::Node &value)
    {
        const auto line = key.Mark().line + 1;
        const std::string name = key.IsScalar() ? key.Scalar() : "";
        const auto found = fields().find(name);
        if (found == fields().end()) {
            addFault(line, name, "is not a known field");
            return;
        }
        if (!seen_.insert(name).second) {
            addFault(line, name, "is given twice");
            return;
        }
        if (auto problem = found->second.read_(value, settings_))
            addFault(value.Mark().line + 1, name, *problem);
    }

    void checkCombinations()
    {
        if (settings_.evenLoad_ && settings_.mode_ == Mode::Baseline)
            addFault(0, "evenLoad", "cannot be given together with 'mode: baseline'");
        if (settings_.platform_) {
            requireFields(platformFields);
            if (seen_.contains("log"))
                addFault(0, "log", "cannot be given together with 'platformStore'");
            return;
        }
        requireFields(standaloneFields);
        if (seen_.contains("adminToken") && seen_.contains("adminTokenFile"))
            addFault(0, "adminTokenFile", "cannot be given together with 'adminToken'");
        if (!seen_.contains("adminToken") && !seen_.contains("adminTokenFile"))
            addFault(0, "adminToken", "or 'adminTokenFile' is missing");
    }

    void requireFields(std::span<const char *const> names)
    {
        for (const auto *name : names) {
            if (!seen_.contains(name))
                addFault(0, name, "is missing");
        }
    }

    void addFault(int line, std::string field, std::string problem)
    {
        faults_.push_back({file_, line, std::move(field), std::move(problem)});
    }

    std::string file_;
    Settings settings_;
    std::set<std::string> seen_;
    std::vector<Fault> faults_;
};

} // namespace

std::string Fault::text() const
{
    auto result = file_;
    if (line_ > 0)
        result += ":" + std::to_string(line_);
    result += ": ";
    if (!field_.empty())
        result += "'" + field_ + "' ";
    return result + problem_;
}

LoadResult parse(const std::string &yaml, const std::string &file)
{
    return Reader(file).read(yaml);
}

LoadResult loadFile(const std::string &path)
{
    const std::ifstream stream(path);
    if (!stream)
        return tl::unexpected(std::vector<Fault>{{path, 0, "", "cannot be read"}});
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str(), path);
}

} // namespace settings
