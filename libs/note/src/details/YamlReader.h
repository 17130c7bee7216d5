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

/** A YAML node with the name and line of its field, for faults. */
struct Field
{
    YAML::Node node_;
    std::string name_;
    int line_ = 0;

    bool isPresent() const { return node_.IsDefined() && !node_.IsNull(); }
};

/** Reads typed fields of a YAML file and collects the faults. */
class YamlReader
{
public:
    explicit YamlReader(std::string file)
        : file_(std::move(file))
    {}

    void addFault(int line, const std::string &field, std::string message);
    void addFault(const Field &field, std::string message)
    {
        addFault(field.line_, field.name_, message);
    }

    /** Whether the field is a mapping; adds faults for unknown and repeated keys. */
    bool checkMapping(const Field &field, std::initializer_list<std::string_view> allowedKeys);

    /** Child field of a mapping; a missing one has the line of the mapping. */
    static Field child(const Field &parent, const char *key);

    /** Calls the function for each element of the list; does nothing if the list is missing. */
    void forEach(const Field &list, const std::function<void(const Field &)> &function);

    /** The value, or the fallback if the field is missing or invalid. */
    std::string text(const Field &field, bool required);
    std::uint64_t number(const Field &field, bool required, std::uint64_t fallback);
    double real(const Field &field, double fallback);
    bool boolean(const Field &field, bool required);

    std::vector<Fault> takeFaults() { return std::move(faults_); }
    bool isFaultLimitReached() const;

private:
    bool checkScalar(const Field &field, bool required, const char *expected);

    std::string file_;
    std::vector<Fault> faults_;
};

} // namespace note::details
