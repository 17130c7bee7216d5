#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <note/Fault.h>
#include <yaml-cpp/yaml.h>

namespace note::details {

/** A node of the file with the name of its field, for faults. */
struct Field
{
    YAML::Node node_;
    std::string name_;
    int line_ = 0;

    bool isThere() const { return node_.IsDefined() && !node_.IsNull(); }
};

/** Reads typed fields of a YAML file and collects everything that is wrong. */
class YamlReader
{
public:
    explicit YamlReader(std::string file)
        : file_(std::move(file))
    {}

    void fault(int line, const std::string &field, std::string message);
    void fault(const Field &field, std::string message)
    {
        fault(field.line_, field.name_, message);
    }

    /** Whether the field is a mapping; reports unknown and repeated keys. */
    bool checkMapping(const Field &field, std::initializer_list<std::string_view> known);

    /** The field of a mapping; its line is the mapping's when it is missing. */
    static Field child(const Field &parent, const char *key);

    /** Calls the function for each element of a list that is there. */
    void forEach(const Field &list, const std::function<void(const Field &)> &function);

    /** The value, or the fallback when the field is missing or wrong. */
    std::string text(const Field &field, bool required);
    std::uint64_t number(const Field &field, bool required, std::uint64_t fallback);
    double real(const Field &field, double fallback);
    bool boolean(const Field &field, bool required);

    std::vector<Fault> takeFaults() { return std::move(faults_); }
    bool isFull() const;

private:
    bool checkScalar(const Field &field, bool required, const char *expected);

    std::string file_;
    std::vector<Fault> faults_;
};

} // namespace note::details
