#include <Files.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace bench {

base::Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return base::fail("read-failed", "cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TemporaryDirectory::TemporaryDirectory()
    : path_((std::filesystem::temp_directory_path() / "fuchsiadock-bench-XXXXXX").string())
{
    if (mkdtemp(path_.data()) == nullptr) {
        std::abort(); // settings files cannot be written without it
    }
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

} // namespace bench
