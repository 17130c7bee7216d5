#include <events/Catalogue.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

#include <gtest/gtest.h>

namespace {

std::string readFile(const std::filesystem::path &path)
{
    const std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/** Maps the first to the second group of all matches of a pattern with two groups. */
std::map<std::string, std::string> matchedPairs(const std::string &text, const std::regex &pattern)
{
    std::map<std::string, std::string> pairs;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match)
        pairs.emplace((*match)[1], (*match)[2]);
    return pairs;
}

std::string allSources()
{
    std::string text;
    for (const char *folder : {"libs", "tools"}) {
        const auto root = std::filesystem::path(SOURCE_FOLDER) / folder;
        for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
            if (entry.path().extension() == ".cpp")
                text += readFile(entry.path());
        }
    }
    return text;
}

std::string catalogueHeader()
{
    return readFile(std::filesystem::path(SOURCE_FOLDER)
                    / "libs/events/include/events/Catalogue.h");
}

} // namespace

TEST(Catalogue, documentedEventsMatchDeclaredOnes)
{
    const auto documented =
            matchedPairs(readFile(EVENTS_CATALOGUE), std::regex(R"(\| (\d+) \| `([a-z-]+)`)"));
    const auto declared = matchedPairs(catalogueHeader(),
                                       std::regex(R"re(\{(\d+), Severity::\w+,\s+"([a-z-]+)")re"));
    EXPECT_FALSE(declared.empty());
    EXPECT_EQ(documented, declared);
}

TEST(Catalogue, everyEventIsUsed)
{
    const auto sources = allSources();
    const auto constants =
            matchedPairs(catalogueHeader(), std::regex(R"(Event (\w+) = \{\s*(\d+))"));
    EXPECT_FALSE(constants.empty());
    for (const auto &[name, number] : constants)
        EXPECT_NE(sources.find("events::" + name), std::string::npos) << name << " " << number;
}
