#pragma once

#include <string>

#include <base/Error.h>

namespace bench {

/** Reads a whole file; fails with "read-failed". */
base::Result<std::string> readFile(const std::string &path);

/** Temporary directory; the destructor removes it and its contents. */
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    const std::string &path() const { return path_; }

private:
    std::string path_;
};

} // namespace bench
